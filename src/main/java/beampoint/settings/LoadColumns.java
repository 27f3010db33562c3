package beampoint.settings;

import beampoint.Balancer.Load;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Which values a report of load that comes with an answer holds, as the settings name them; empty where none
 * comes. Values that this version does not know are passed over. A report is advice: one that is malformed is
 * none, and costs nothing else.
 */
public record LoadColumns(List<String> names) {

  /** The words of the settings and those that cache nodes may use on their connections. */
  private static final List<String> QUEUE = List.of("depth", "queue");
  private static final List<String> UTILISATION = List.of("load_share", "util");

  /** Where reports come only with probes, or not at all, there are no columns. */
  public static LoadColumns read(Fields m) throws InputException {
    List<String> names = new ArrayList<>();
    String columns = m.text("telemetry.columns", "");
    int count = m.index("telemetry.columns.count", 0);
    for (int i = 0; i < count; i++) {
      names.add(m.text("telemetry.columns." + i));
    }
    if (!columns.isEmpty()) {
      Collections.addAll(names, columns.split(",", -1));
    }
    boolean withAnswers = m.text("telemetry.source", "off").equals("inline");
    return new LoadColumns(withAnswers ? List.copyOf(names) : List.of());
  }

  /** A report of bare values, or null where none came, or one that does not have its columns. */
  public Load parse(String row) {
    String[] values = row == null ? new String[0] : row.split(",", -1);
    return values.length == 0 || values.length != names.size() ? null : load(names, List.of(values));
  }

  /** A report of names and values, as {@code queue=2,util=0.6}; null where none came or is to come. */
  public Load parseNamed(String text) {
    if (text == null || names.isEmpty()) {
      return null;
    }
    List<String> told = new ArrayList<>();
    List<String> values = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      int equals = part.indexOf('=');
      told.add(equals < 0 ? "" : part.substring(0, equals));
      values.add(part.substring(equals + 1));
    }
    return load(told, values);
  }

  private static Load load(List<String> names, List<String> values) {
    return new Load(value(names, values, QUEUE), value(names, values, UTILISATION));
  }

  /** NaN where the report does not tell it, or tells what can't be. */
  private static double value(List<String> names, List<String> values, List<String> words) {
    for (int i = 0; i < names.size(); i++) {
      if (words.contains(names.get(i))) {
        return number(values.get(i));
      }
    }
    return Double.NaN;
  }

  private static double number(String text) {
    try {
      double value = Double.parseDouble(text);
      return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}

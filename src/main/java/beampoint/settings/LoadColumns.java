package beampoint.settings;

import beampoint.Balancer.Load;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The names of the values in a load report, in the order configured; empty if responses carry no load
 * reports. Values with unknown names are ignored. Load reports are advisory: a malformed one is treated as
 * missing and has no other effect.
 */
public record LoadColumns(List<String> names) {

  // For each value the name in the settings and the name that cache nodes may use on their connections.
  private static final List<String> QUEUE_NAMES = List.of("depth", "queue");
  private static final List<String> UTILISATION_NAMES = List.of("load_share", "util");

  /** Reads the columns; there are none if reports come with probes only, or not at all. */
  public static LoadColumns read(Fields fields) throws InputException {
    List<String> names = new ArrayList<>();
    String columns = fields.text("telemetry.columns", "");
    int count = fields.integer("telemetry.columns.count", 0);
    for (int i = 0; i < count; i++) {
      names.add(fields.text("telemetry.columns." + i));
    }
    if (!columns.isEmpty()) {
      Collections.addAll(names, columns.split(",", -1));
    }
    boolean inResponses = fields.text("telemetry.source", "off").equals("inline");
    return new LoadColumns(inResponses ? List.copyOf(names) : List.of());
  }

  /** Parses a report of values without names; null if there is none or the number of values is wrong. */
  public Load parse(String row) {
    String[] values = row == null ? new String[0] : row.split(",", -1);
    return values.length == 0 || values.length != names.size() ? null : load(names, List.of(values));
  }

  /** Parses a report such as {@code queue=2,util=0.6}; null if there is none or none is expected. */
  public Load parseNamed(String text) {
    if (text == null || names.isEmpty()) {
      return null;
    }
    List<String> reported = new ArrayList<>();
    List<String> values = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      int equals = part.indexOf('=');
      reported.add(equals < 0 ? "" : part.substring(0, equals));
      values.add(part.substring(equals + 1));
    }
    return load(reported, values);
  }

  private static Load load(List<String> names, List<String> values) {
    return new Load(value(names, values, QUEUE_NAMES), value(names, values, UTILISATION_NAMES));
  }

  /** The first value that has one of the accepted names; NaN if there is none or it is invalid. */
  private static double value(List<String> names, List<String> values, List<String> accepted) {
    for (int i = 0; i < names.size(); i++) {
      if (accepted.contains(names.get(i))) {
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

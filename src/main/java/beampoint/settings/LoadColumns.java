package beampoint.settings;

import beampoint.Balancer.Load;
import java.util.List;

/** Which value of a load report stands where, as the settings name them; those not known are passed over. */
public record LoadColumns(List<String> names) {

  public static LoadColumns read(Fields m) {
    String names = m.text("telemetry.columns", "");
    return new LoadColumns(names.isEmpty() ? List.of() : List.of(names.split(",", -1)));
  }

  /** A report, or null where none came, or one that does not have its columns. */
  public Load parse(String row) {
    String[] values = row == null ? new String[0] : row.split(",", -1);
    if (row == null || names.isEmpty() || values.length != names.size()) {
      return null;
    }
    return new Load(value(values, "depth"), value(values, "load_share"));
  }

  /** NaN where the report does not tell it, or tells what can't be. */
  private double value(String[] values, String name) {
    int at = names.indexOf(name);
    try {
      double value = at < 0 ? Double.NaN : Double.parseDouble(values[at]);
      return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}

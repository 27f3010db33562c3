package beampoint.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings that only the socket layer needs.
 *
 * @param classes the names of the request classes by number
 * @param tenants the names of the tenants by number
 * @param zones the names of the zones by number
 * @param kinds the names of the hardware kinds by number
 * @param peerIdleTimeoutMs the time in ms after which peers close an idle connection
 * @param loadColumns the names of the values in the load reports that responses carry
 */
public record SocketSettings(List<String> classes, List<String> tenants, List<String> zones,
    List<String> kinds, double peerIdleTimeoutMs, LoadColumns loadColumns) {

  /** Reads the settings by their flat field names. */
  public static SocketSettings read(Fields fields) throws InputException {
    return new SocketSettings(names(fields, "lanes", ".name"), names(fields, "accounts", ".name"),
        names(fields, "localities", ""), names(fields, "skus", ""),
        fields.number("policy-limits.conn-idle-ms", Double.MAX_VALUE), LoadColumns.read(fields));
  }

  private static List<String> names(Fields fields, String list, String field) throws InputException {
    List<String> names = new ArrayList<>();
    int count = fields.integer(list + ".count", 0);
    for (int i = 0; i < count; i++) {
      names.add(fields.text(list + "." + i + field));
    }
    return List.copyOf(names);
  }
}

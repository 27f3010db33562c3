package beampoint.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * What only the sockets need of the settings: names by number, after how many ms peers close, and which
 * values come with answers.
 */
public record SocketSettings(List<String> classes, List<String> tenants, List<String> zones,
    List<String> kinds, double connectionIdle, LoadColumns loads) {

  public static SocketSettings read(Fields m) throws InputException {
    return new SocketSettings(names(m, "lanes", ".name"), names(m, "accounts", ".name"),
        names(m, "localities", ""), names(m, "skus", ""),
        m.number("policy-limits.conn-idle-ms", Double.MAX_VALUE), LoadColumns.read(m));
  }

  private static List<String> names(Fields m, String list, String field) throws InputException {
    List<String> names = new ArrayList<>();
    int count = m.index(list + ".count", 0);
    for (int i = 0; i < count; i++) {
      names.add(m.text(list + "." + i + field));
    }
    return List.copyOf(names);
  }
}

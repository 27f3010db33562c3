package beampoint.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a proxy is told of the fleet that it is a member of.
 *
 * @param cluster only who names the same is listened to
 * @param listen where members reach this one, by UDP and TCP
 * @param peers the others' addresses by their names; some may be gone
 * @param dial other addresses for some of them, by name, as where a relay lies between
 */
public record FleetSettings(String cluster, InetSocketAddress listen, Map<String, InetSocketAddress> peers,
    Map<String, InetSocketAddress> dial) {

  /**
   * Other members that a proxy may be told of: nearly twice the largest fleet that is planned. Guards against
   * a configuration whose list takes the memory of the proxy.
   */
  public static final int MAX_MEMBERS = 4_096;
  private static final int MAX_NAME_LENGTH = 100;

  /** Reads the {@code fleet} object of a configuration that has one. */
  public static FleetSettings read(JsonFields fields) throws InputException {
    return new FleetSettings(name(fields, "fleet.cluster"), fields.address("fleet.listen"),
        addresses(fields, "fleet.peers"), addresses(fields, "fleet.dial"));
  }

  private static Map<String, InetSocketAddress> addresses(JsonFields fields, String list)
      throws InputException {
    Map<String, InetSocketAddress> addresses = new TreeMap<>();
    int count = fields.index(list + ".count", 0);
    if (count > MAX_MEMBERS) {
      throw fields.malformed(list, "more than " + MAX_MEMBERS + ": " + count);
    }
    for (int i = 0; i < count; i++) {
      String name = name(fields, list + "." + i + ".name");
      if (addresses.put(name, fields.address(list + "." + i + ".address")) != null) {
        throw fields.malformed(list + "." + i + ".name", "named twice: '" + name + "'");
      }
    }
    return addresses;
  }

  private static String name(JsonFields fields, String field) throws InputException {
    String name = fields.text(field);
    boolean printable = name.chars().allMatch(c -> c > ' ' && c <= '~');
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH || !printable) {
      throw fields.malformed(field,
          "not a name of 1 to " + MAX_NAME_LENGTH + " printable characters: '" + name + "'");
    }
    return name;
  }
}

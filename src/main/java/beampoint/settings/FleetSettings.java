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

  /** Members that there may be at the most. */
  public static final int MOST_MEMBERS = 1_024;
  private static final int LONGEST_NAME = 100;

  /** Reads the {@code fleet} object of a configuration that has one. */
  public static FleetSettings read(JsonFields fields) throws InputException {
    return new FleetSettings(name(fields, "fleet.cluster"), fields.address("fleet.listen"),
        addresses(fields, "fleet.peers"), addresses(fields, "fleet.dial"));
  }

  private static Map<String, InetSocketAddress> addresses(JsonFields fields, String list)
      throws InputException {
    Map<String, InetSocketAddress> addresses = new TreeMap<>();
    int count = fields.index(list + ".count", 0);
    if (count > MOST_MEMBERS) {
      throw fields.malformed(list, "more than " + MOST_MEMBERS + ": " + count);
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
    if (name.isEmpty() || name.length() > LONGEST_NAME || !name.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw fields.malformed(field, "not a name of 1 to " + LONGEST_NAME + " printable characters: '" + name
          + "'");
    }
    return name;
  }
}

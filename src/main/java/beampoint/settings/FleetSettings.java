package beampoint.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings of a proxy as a member of a fleet.
 *
 * @param cluster the name of the cluster; messages that state another one are ignored
 * @param listen the address at which other members reach this one, by UDP and TCP
 * @param peers the addresses of the other members by name; some of them may be dead or have left
 * @param dial addresses to connect to instead of the announced ones, by member name, for example for members
 *     behind a network relay
 */
public record FleetSettings(String cluster, InetSocketAddress listen, Map<String, InetSocketAddress> peers,
    Map<String, InetSocketAddress> dial) {

  /**
   * The maximum number of entries in a list of members: nearly twice the size of the largest fleet that is
   * planned. Keeps a configuration with a very long list from using up the memory of the proxy.
   */
  public static final int MAX_MEMBERS = 4_096;
  private static final int MAX_NAME_LENGTH = 100;

  /** Reads the {@code fleet} object, which the configuration must have. */
  public static FleetSettings read(JsonFields fields) throws InputException {
    return new FleetSettings(name(fields, "fleet.cluster"), fields.address("fleet.listen"),
        addresses(fields, "fleet.peers"), addresses(fields, "fleet.dial"));
  }

  private static Map<String, InetSocketAddress> addresses(JsonFields fields, String list)
      throws InputException {
    Map<String, InetSocketAddress> addresses = new TreeMap<>();
    int count = fields.integer(list + ".count", 0);
    if (count > MAX_MEMBERS) {
      throw fields.invalid(list, "more than " + MAX_MEMBERS + " entries: " + count);
    }
    for (int i = 0; i < count; i++) {
      String name = name(fields, list + "." + i + ".name");
      if (addresses.put(name, fields.address(list + "." + i + ".address")) != null) {
        throw fields.invalid(list + "." + i + ".name", "duplicate name: '" + name + "'");
      }
    }
    return addresses;
  }

  private static String name(JsonFields fields, String field) throws InputException {
    String name = fields.text(field);
    boolean printable = name.chars().allMatch(c -> c > ' ' && c <= '~');
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH || !printable) {
      throw fields.invalid(field,
          "not a name of 1 to " + MAX_NAME_LENGTH + " printable characters: '" + name + "'");
    }
    return name;
  }
}

package beampoint.discovery;

import beampoint.log.Log;
import beampoint.settings.Address;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A list of hosts from discovery.
 *
 * @param version the sequence number of the list ({@code seq} in JSON)
 * @param whole true for a complete list, false for one that holds changed entries only
 * @param hosts the entries; malformed ones are left out
 */
public record HostList(long version, boolean whole, List<Host> hosts) {

  private static final Log LOG = Log.of("discovery");

  /**
   * The state of a host as discovery reports it. READY: accepts requests. TERMINATING: drains and gets no new
   * requests. GONE: no longer exists.
   */
  public enum Health { READY, TERMINATING, GONE }

  /**
   * One entry of a list.
   *
   * @param host the name of the host, the same for all proxies
   * @param dial the address at which this proxy connects to it; null if not stated; only a host that is
   *     TERMINATING or GONE may lack it, because it gets no new requests
   * @param site the name of its zone, or empty
   * @param kind the name of its hardware kind ({@code class} in JSON), or empty
   * @param block the number of its cell, 0 if none is stated
   * @param health its state
   * @param share its weight relative to other hosts, 1 if none is stated
   * @param bornMs its start time in ms, 0 if none is stated
   */
  public record Host(String host, InetSocketAddress dial, String site, String kind, int block, Health health,
      double share, double bornMs) {}

  /** Parses one list from JSON text; throws a {@link JsonParseException} if it is not one. */
  public static HostList parse(String json) {
    try {
      return read(JsonParser.parseString(json).getAsJsonObject());
    } catch (IllegalStateException e) {
      throw new JsonParseException("invalid host list: " + e.getMessage(), e);
    }
  }

  /** Reads one list from its JSON object; throws a {@link JsonParseException} if it is not one. */
  public static HostList read(JsonObject object) {
    try {
      List<Host> hosts = new ArrayList<>();
      for (JsonElement entry : object.getAsJsonArray("hosts")) {
        addEntry(hosts, entry);
      }
      return new HostList(object.get("seq").getAsLong(), object.get("whole").getAsBoolean(), hosts);
    } catch (IllegalStateException | NullPointerException | NumberFormatException
        | UnsupportedOperationException | ClassCastException e) {
      throw new JsonParseException("invalid host list: " + e.getMessage(), e);
    }
  }

  /** Adds an entry; a malformed one is logged and skipped, so that it does not make the whole list fail. */
  private static void addEntry(List<Host> hosts, JsonElement entry) {
    try {
      hosts.add(readHost(entry.getAsJsonObject()));
    } catch (JsonParseException | IllegalStateException | NullPointerException | NumberFormatException
        | UnsupportedOperationException | ClassCastException e) {
      LOG.warn("host list entry ignored: " + entry + ": " + e.getMessage());
    }
  }

  private static Host readHost(JsonObject object) {
    String name = object.get("host").getAsString();
    Health health = switch (object.get("health").getAsString()) {
      case "Ready" -> Health.READY;
      case "Terminating" -> Health.TERMINATING;
      case "Gone" -> Health.GONE;
      default -> throw new JsonParseException(name + " has an unknown health: " + object.get("health"));
    };
    String dial = object.has("dial") ? object.get("dial").getAsString() : "";
    InetSocketAddress address = Address.parse(dial);
    if (health == Health.READY && address == null) {
      throw new JsonParseException(name + " has no address of the form host:port: '" + dial + "'");
    }
    return new Host(name, address, text(object, "site"), text(object, "class"),
        (int) number(object, "block", 0), health, number(object, "share", 1), number(object, "born_ms", 0));
  }

  private static String text(JsonObject object, String field) {
    return object.has(field) ? object.get(field).getAsString() : "";
  }

  private static double number(JsonObject object, String field, double defaultValue) {
    return object.has(field) ? object.get(field).getAsDouble() : defaultValue;
  }
}

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

/** A list of hosts as discovery words it: whole, or the entries that changed. */
public record HostList(long version, boolean whole, List<Host> hosts) {

  private static final Log LOG = Log.of("discovery");

  /** How a host stands. */
  public enum Health { READY, TERMINATING, GONE }

  /**
   * One entry; {@code host} is its name everywhere, {@code dial} where this proxy reaches it, null where a
   * host that is gone or drains has none: nothing new is sent there.
   */
  public record Host(String host, InetSocketAddress dial, String site, String kind, int block, Health health,
      double share, double bornMs) {}

  /** Reads one list. */
  public static HostList parse(String json) {
    try {
      return read(JsonParser.parseString(json).getAsJsonObject());
    } catch (IllegalStateException e) {
      throw new JsonParseException("not a list of hosts: " + e.getMessage(), e);
    }
  }

  /** Reads one list from its JSON; throws a {@link JsonParseException} where it is not one. */
  public static HostList read(JsonObject object) {
    try {
      List<Host> hosts = new ArrayList<>();
      for (JsonElement entry : object.getAsJsonArray("hosts")) {
        add(hosts, entry);
      }
      return new HostList(object.get("seq").getAsLong(), object.get("whole").getAsBoolean(), hosts);
    } catch (IllegalStateException | NullPointerException | NumberFormatException
        | UnsupportedOperationException | ClassCastException e) {
      throw new JsonParseException("not a list of hosts: " + e.getMessage(), e);
    }
  }

  /** Guards against one odd entry that keeps all others from being known. */
  private static void add(List<Host> hosts, JsonElement entry) {
    try {
      hosts.add(host(entry.getAsJsonObject()));
    } catch (JsonParseException | IllegalStateException | NullPointerException | NumberFormatException
        | UnsupportedOperationException | ClassCastException e) {
      LOG.warn("left out of the list: " + entry + ": " + e.getMessage());
    }
  }

  private static Host host(JsonObject o) {
    String name = o.get("host").getAsString();
    Health health = switch (o.get("health").getAsString()) {
      case "Ready" -> Health.READY;
      case "Terminating" -> Health.TERMINATING;
      case "Gone" -> Health.GONE;
      default -> throw new JsonParseException(name + " has an unknown health: " + o.get("health"));
    };
    String dial = o.has("dial") ? o.get("dial").getAsString() : "";
    InetSocketAddress address = Address.parse(dial);
    if (health == Health.READY && address == null) {
      throw new JsonParseException(name + " has no address of the form host:port: '" + dial + "'");
    }
    return new Host(name, address, text(o, "site"), text(o, "class"), (int) number(o, "block", 0), health,
        number(o, "share", 1), number(o, "born_ms", 0));
  }

  private static String text(JsonObject o, String field) {
    return o.has(field) ? o.get(field).getAsString() : "";
  }

  private static double number(JsonObject o, String field, double absent) {
    return o.has(field) ? o.get(field).getAsDouble() : absent;
  }
}

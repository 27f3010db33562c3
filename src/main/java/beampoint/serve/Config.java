package beampoint.serve;

import beampoint.Balancer.Settings;
import beampoint.discovery.HostList;
import beampoint.settings.FleetSettings;
import beampoint.settings.InputException;
import beampoint.settings.JsonFields;
import beampoint.settings.KeyPaths;
import beampoint.settings.SettingsReader;
import beampoint.settings.SocketSettings;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Set;

/**
 * What a proxy is told at its start; {@code ops} is null where there is no address for operators, and
 * {@code fleet} where it is a member of none.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress ops,
    FleetSettings fleet, InetSocketAddress discovery, long seed,
    int sockets, int memoryMb, HostList known, Settings settings, SocketSettings socketSettings,
    Set<String> keys) {

  private static final int MIN_SOCKETS = 40;

  /** Reads the file; whatever is wrong with it is told in one plain sentence. */
  public static Config read(Path file) throws InputException {
    try {
      return read(file.toString(), JsonParser.parseString(Files.readString(file)).getAsJsonObject());
    } catch (IOException e) {
      throw new InputException(file + ": can't be read: " + e.getMessage());
    } catch (JsonParseException | IllegalStateException | UnsupportedOperationException
        | ClassCastException e) {
      throw new InputException(file + ": " + e.getMessage());
    }
  }

  static Config read(String source, JsonObject json) throws InputException {
    JsonObject own = withoutHosts(json);
    JsonFields top = new JsonFields(source, own);
    long seed;
    try {
      seed = Long.parseUnsignedLong(top.text("seed"), 16);
    } catch (NumberFormatException e) {
      throw top.malformed("seed", "not a hexadecimal number");
    }
    if (!json.has("settings") || !json.has("known")) {
      throw top.malformed(json.has("known") ? "settings" : "known", "missing");
    }
    JsonFields settings = new JsonFields(source + ", settings", json.getAsJsonObject("settings"));
    settings.put("nonce64", Long.toString(seed));
    int sockets = Descriptors.atMost(top.index("limits.sockets", 1024));
    if (sockets < MIN_SOCKETS) {
      throw top.malformed("limits.sockets", "too few: " + sockets + ", at least " + MIN_SOCKETS);
    }
    String ops = System.getenv("PROXY_OPS");
    if (ops != null && !ops.isBlank()) {
      top.put("ops", ops);
    }
    return new Config(top.text("name"), top.address("listen"),
        top.text("ops", null) == null ? null : top.address("ops"),
        json.has("fleet") ? FleetSettings.read(top) : null, top.address("discovery"), seed,
        sockets, top.index("limits.memory_mb", 192), HostList.read(json.getAsJsonObject("known")),
        SettingsReader.read(settings), SocketSettings.read(settings), KeyPaths.of(own));
  }

  /** The same with a mark in place of the list of hosts, which has a form of its own and is long. */
  private static JsonObject withoutHosts(JsonObject json) {
    JsonObject own = new JsonObject();
    json.entrySet().forEach(member -> own.add(member.getKey(), member.getValue()));
    if (own.has("known")) {
      own.addProperty("known", true);
    }
    return own;
  }

  /**
   * The first key that the next configuration lacks though this one has it, or null. Guards against one that
   * was written in part: what is missing would be taken for what it is by default.
   */
  String missingIn(Config next) {
    return keys.stream().filter(key -> !next.keys.contains(key)).findFirst().orElse(null);
  }

  /** True where the next configuration differs in what holds from a start on. */
  boolean needsRestart(Config next) {
    return !name.equals(next.name) || !listen.equals(next.listen) || sockets != next.sockets
        || !Objects.equals(ops, next.ops) || !Objects.equals(fleet, next.fleet)
        || !socketSettings.zones().equals(next.socketSettings.zones())
        || !socketSettings.kinds().equals(next.socketSettings.kinds())
        || settings.zone() != next.settings.zone() || settings.originKind() != next.settings.originKind()
        || settings.listPushed() != next.settings.listPushed()
        || settings.weightSource() != next.settings.weightSource();
  }
}

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
 * The configuration of a proxy.
 *
 * @param ops the address for operators, or null if there is none
 * @param fleet the fleet that the proxy is a member of, or null if there is none
 * @param sockets how many file descriptors the process may use
 * @param known the host list that holds until discovery sends one
 * @param keys the keys that the configuration file contains, without those of the host list
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress ops,
    FleetSettings fleet, InetSocketAddress discovery, long seed,
    int sockets, int memoryMb, HostList known, Settings settings, SocketSettings socketSettings,
    Set<String> keys) {

  private static final int MIN_SOCKETS = 40;

  /**
   * Reads a configuration file.
   *
   * @throws InputException with a one-line message if the file can't be read or is not valid
   */
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
    JsonObject fields = withoutHosts(json);
    JsonFields root = new JsonFields(source, fields);
    long seed;
    try {
      seed = Long.parseUnsignedLong(root.text("seed"), 16);
    } catch (NumberFormatException e) {
      throw root.invalid("seed", "not a hexadecimal number");
    }
    if (!json.has("settings") || !json.has("known")) {
      throw root.invalid(json.has("known") ? "settings" : "known", "missing");
    }
    JsonFields settings = new JsonFields(source + ", settings", json.getAsJsonObject("settings"));
    settings.put("nonce64", Long.toString(seed));
    int sockets = Descriptors.atMost(root.integer("limits.sockets", 1024));
    if (sockets < MIN_SOCKETS) {
      throw root.invalid("limits.sockets", "too few: " + sockets + ", at least " + MIN_SOCKETS);
    }
    String ops = System.getenv("PROXY_OPS");
    if (ops != null && !ops.isBlank()) {
      root.put("ops", ops);
    }
    return new Config(root.text("name"), root.address("listen"),
        root.text("ops", null) == null ? null : root.address("ops"),
        json.has("fleet") ? FleetSettings.read(root) : null, root.address("discovery"), seed,
        sockets, root.integer("limits.memory_mb", 192), HostList.read(json.getAsJsonObject("known")),
        SettingsReader.read(settings), SocketSettings.read(settings), KeyPaths.of(fields));
  }

  /** Copies the configuration with {@code true} in place of the host list, which is long and parsed apart. */
  private static JsonObject withoutHosts(JsonObject json) {
    JsonObject fields = new JsonObject();
    json.entrySet().forEach(member -> fields.add(member.getKey(), member.getValue()));
    if (fields.has("known")) {
      fields.addProperty("known", true);
    }
    return fields;
  }

  /**
   * Returns the first key of this configuration that the next one lacks, or null. A file that was written
   * only in part must not be applied, because its missing keys would fall back to their defaults.
   */
  String missingIn(Config next) {
    return keys.stream().filter(key -> !next.keys.contains(key)).findFirst().orElse(null);
  }

  /** True if the next configuration changes a setting that takes effect only at a restart. */
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

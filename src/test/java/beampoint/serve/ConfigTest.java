package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Idempotency;
import beampoint.settings.FleetSettings;
import beampoint.settings.InputException;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration, and the numbers by which the module knows the names on the wire. */
class ConfigTest {

  private static JsonObject validConfig() {
    return JsonParser.parseString("""
        {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ffffffffffffffff",
         "known":{"seq":1,"whole":true,"hosts":[%s]},"settings":%s}"""
        .formatted(ProxyFixture.host("s-1", "127.0.0.1:2", "origin"), ProxyFixture.SETTINGS))
        .getAsJsonObject();
  }

  private static String problem(JsonObject json) {
    return assertThrows(InputException.class, () -> Config.read("config.json", json)).getMessage();
  }

  private static long key(String text) {
    Buffer buffer = Buffers.wrap(new HeapMemoryManager(), text);
    return NameIndex.key(buffer);
  }

  @Test
  void theSettingsHaveTheSameNamesAsInTheSimulator() throws Exception {
    Config config = Config.read("config.json", validConfig());
    assertEquals(-1, config.seed(), "all 64 bits are used");
    assertEquals(-1, config.settings().seed());
    assertEquals(1, config.settings().originKind());
    assertEquals(2, config.settings().siblings());
    assertEquals(Idempotency.KEYED, config.settings().classes().get(1).idempotency());
    assertEquals(50, config.settings().tenants().get(0).quotaPerSecond());
    assertEquals(List.of("read", "put"), config.socketSettings().classes());
    assertEquals(60_000, config.socketSettings().peerIdleTimeoutMs());
    assertEquals(1, new NameIndex(config.socketSettings()).endpoint(config.known().hosts().get(0)).kind());
  }

  @Test
  void anInvalidFleetIsRejectedWithItsFieldNamed() throws Exception {
    assertNull(Config.read("config.json", validConfig()).fleet());
    String[][] cases = {{"7", "fleet.cluster': missing"}, {"{}", "fleet.cluster': missing"},
        {"{\"cluster\":\"\",\"listen\":\"127.0.0.1:1\"}", "fleet.cluster': not a name"},
        {"{\"cluster\":\"c\",\"listen\":\"here\"}", "fleet.listen': not of the form"},
        {"{\"cluster\":\"c\",\"listen\":\"127.0.0.1:1\",\"peers\":[{\"name\":\"a\"}]}",
            "fleet.peers.0.address': missing"},
        {"{\"cluster\":\"c\",\"listen\":\"127.0.0.1:1\",\"peers\":[{\"name\":\"a\",\"address\":\"h:1\"},"
            + "{\"name\":\"a\",\"address\":\"h:2\"}]}", "fleet.peers.1.name': duplicate name"},
        {"{\"cluster\":\"c\",\"listen\":\"127.0.0.1:1\",\"dial\":[{\"name\":\"a b\",\"address\":\"h:1\"}]}",
            "fleet.dial.0.name': not a name"}};
    for (String[] invalid : cases) {
      JsonObject json = validConfig();
      json.add("fleet", JsonParser.parseString(invalid[0]));
      assertTrue(problem(json).contains(invalid[1]), problem(json));
    }
  }

  /** Guards against a limit that is too low for a fleet of 2,300 members, which would then not start. */
  @Test
  void aFleetMayHaveAsManyPeersAsThereMayBeMembersAndNoMore() throws Exception {
    for (int peers : new int[] {2_300, FleetSettings.MAX_MEMBERS - 1, FleetSettings.MAX_MEMBERS}) {
      assertEquals(peers, Config.read("config.json", withPeers(peers)).fleet().peers().size());
    }
    assertTrue(problem(withPeers(FleetSettings.MAX_MEMBERS + 1))
        .contains("fleet.peers': more than " + FleetSettings.MAX_MEMBERS));
  }

  private static JsonObject withPeers(int peers) {
    JsonObject json = validConfig();
    String list = IntStream.range(0, peers)
        .mapToObj(i -> "{\"name\":\"n%d\",\"address\":\"127.0.0.1:%d\"}".formatted(i, 10_000 + i))
        .collect(Collectors.joining(","));
    json.add("fleet", JsonParser.parseString(
        "{\"cluster\":\"c\",\"listen\":\"127.0.0.1:1\",\"peers\":[" + list + "]}"));
    return json;
  }

  /** Keys that were added to the settings are optional: a proxy without them works as before. */
  @Test
  void byDefaultCrossingZonesIsFreeAndNoLoadReportIsExpected() throws Exception {
    Config config = Config.read("config.json", validConfig());
    assertEquals(0, config.settings().prices().crossZone());
    assertEquals(List.of(), config.socketSettings().loadColumns().names());
    JsonObject json = validConfig();
    json.getAsJsonObject("settings").add("prices", JsonParser.parseString("{\"cross-zone\":0.03}"));
    json.getAsJsonObject("settings").add("telemetry",
        JsonParser.parseString("{\"source\":\"inline\",\"columns\":[\"depth\"]}"));
    Config extended = Config.read("config.json", json);
    assertEquals(0.03, extended.settings().prices().crossZone());
    assertEquals(List.of("depth"), extended.socketSettings().loadColumns().names());
  }

  /** Guards against a host of an unknown kind that is taken for the origin where the settings have none. */
  @Test
  void anUnknownKindIsNotTheOrigin() throws Exception {
    JsonObject json = validConfig();
    json.getAsJsonObject("settings").remove("family-info");
    json.getAsJsonObject("known").getAsJsonArray("hosts").get(0).getAsJsonObject().addProperty("class", "m9");
    Config config = Config.read("config.json", json);
    assertEquals(-1, config.settings().originKind());
    assertEquals(2, new NameIndex(config.socketSettings()).endpoint(config.known().hosts().get(0)).kind());
  }

  @Test
  void anInvalidConfigurationIsRejectedWithItsFieldOrFileNamed(@TempDir Path dir) throws Exception {
    JsonObject json = validConfig();
    json.addProperty("listen", "nowhere");
    assertTrue(problem(json).contains("'listen'"), problem(json));
    json = validConfig();
    json.addProperty("seed", "xyz");
    assertTrue(problem(json).contains("'seed'"), problem(json));
    json = validConfig();
    json.add("limits", JsonParser.parseString("{\"sockets\":36}"));
    assertTrue(problem(json).contains("too few: 36"), problem(json));
    json = validConfig();
    json.remove("settings");
    assertTrue(problem(json).contains("'settings'"), problem(json));
    json = validConfig();
    json.getAsJsonObject("settings").getAsJsonArray("lanes").get(0).getAsJsonObject().remove("target-ms");
    assertTrue(problem(json).contains("lanes.0.target-ms"), problem(json));
    json = validConfig();
    json.getAsJsonObject("settings").add("prices", JsonParser.parseString("{\"cross-zone\":-0.01}"));
    assertTrue(problem(json).contains("'prices.cross-zone': below 0"), problem(json));
    json = validConfig();
    json.getAsJsonObject("settings").add("telemetry",
        JsonParser.parseString("{\"columns\":{\"count\":\"x\"}}"));
    assertTrue(problem(json).contains("telemetry.columns.count"), problem(json));
    Path file = dir.resolve("config.json");
    assertThrows(InputException.class, () -> Config.read(file));
    for (String text : new String[] {"", "[]", "{", "{\"name\":\"n0\"}", "{\"known\":{\"hosts\":3}}"}) {
      Files.writeString(file, text);
      String message = assertThrows(InputException.class, () -> Config.read(file)).getMessage();
      assertTrue(message.contains("config.json"), message);
    }
  }

  /**
   * Guards against a negative number for a key, which means to the module that there is no key, and against
   * proxies that give different numbers to one key.
   */
  @Test
  void aKeyHasTheSameNumberInAllProxiesAndNeverANegativeOne() {
    assertEquals(0x7f3a9c21e0b4d655L, key("7f3a9c21e0b4d655"));
    assertEquals(0x7f3a9c21e0b4d655L, key("ff3a9c21e0b4d655"));
    assertEquals(0x7fffffffffffffffL, key("ffffffffffffffff"));
    assertEquals(key("any-word"), key("any-word"));
    assertTrue(key("any-word") >= 0 && key("another word than that") >= 0);
  }

  @Test
  void theClockIsUnixTimeAndNeverGoesBack() {
    Clock clock = new Clock();
    double before = System.currentTimeMillis();
    double read = clock.getAsDouble();
    assertTrue(Math.abs(read - before) < 5000, "the clock must be Unix time, as hosts' start times are");
    for (int i = 0; i < 1000; i++) {
      double next = clock.getAsDouble();
      assertTrue(next >= read);
      read = next;
    }
  }
}

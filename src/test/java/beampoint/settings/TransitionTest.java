package beampoint.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.settings.Transition.NamedSettings;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The settings in force during a change of settings. */
class TransitionTest {

  private static String lane(String name, String idempotency, String more) {
    return "{\"name\":\"" + name + "\",\"idempotency\":\"" + idempotency
        + "\",\"target-ms\":100,\"hard-limit-ms\":500" + more + "}";
  }

  private static NamedSettings namedSettings(int attempts, String... lanes) throws InputException {
    return inZones("[\"a\"]", attempts, lanes);
  }

  private static NamedSettings inZones(String zones, int attempts, String... lanes) throws InputException {
    JsonFields m = fields("{\"nonce64\":1,\"localities\":" + zones + ",\"skus\":[\"m\"],\"policy-limits\":"
        + "{\"max-attempts\":" + attempts + "},\"lanes\":[" + String.join(",", lanes) + "],"
        + "\"accounts\":[{\"name\":\"t" + attempts + "\"},{\"name\":\"both\"}]}");
    return new NamedSettings(SettingsReader.read(m), SocketSettings.read(m));
  }

  private static JsonFields fields(String json) {
    return new JsonFields("test", JsonParser.parseString(json).getAsJsonObject());
  }

  private static RequestClass classDuring(String current, String next) throws InputException {
    return Transition.duringTransition(namedSettings(2, current), namedSettings(2, next)).settings()
        .classes().get(0);
  }

  @Test
  void aDroppedClassIsKeptDuringTheTransitionAndAKeptOneIsFoundByItsName() throws InputException {
    NamedSettings current = namedSettings(4, lane("a", "safe", ""), lane("b", "safe", ""));
    NamedSettings next = namedSettings(2, lane("new", "unsafe", ""), lane("b", "safe", ""));
    NamedSettings during = Transition.duringTransition(current, next);
    assertEquals(List.of("new", "b", "a"), during.socketSettings().classes());
    assertEquals(2, during.settings().limits().maxAttempts());
    assertEquals(List.of(-1, 1, 0), Transition.change(current, during).formerClasses());
    assertEquals(List.of(-1, 1), Transition.change(current, during).formerTenants());
    assertEquals(List.of(0, 1), Transition.change(during, next).formerClasses());
  }

  @Test
  void aChangedIdempotencyIsTheStricterOfBothDuringTheTransition() throws InputException {
    String keyed = ",\"group\":\"zone\",\"dedup-window-ms\":900";
    assertEquals(Idempotency.UNSAFE,
        classDuring(lane("a", "safe", ""), lane("a", "unsafe", "")).idempotency());
    assertEquals(Idempotency.UNSAFE,
        classDuring(lane("a", "unsafe", ""), lane("a", "safe", "")).idempotency());
    RequestClass fromUnsafe = classDuring(lane("a", "unsafe", ""), lane("a", "keyed", keyed));
    assertEquals(Idempotency.UNSAFE, fromUnsafe.idempotency());
    RequestClass fromKeyed = classDuring(lane("a", "keyed", keyed), lane("a", "safe", ""));
    assertEquals(Idempotency.KEYED, fromKeyed.idempotency());
    assertEquals(DedupGroup.ZONE, fromKeyed.group());
    assertEquals(900, fromKeyed.dedupWindow());
    RequestClass both = classDuring(lane("a", "keyed", keyed),
        lane("a", "keyed", ",\"group\":\"all\",\"dedup-window-ms\":400"));
    assertEquals(DedupGroup.ZONE, both.group());
    assertEquals(400, both.dedupWindow());
  }

  @Test
  void theNumberingOfHostsStaysUntilTheNextStart() throws InputException {
    NamedSettings kept =
        Transition.keepStartupSettings(inZones("[\"a\",\"b\"]", 4), inZones("[\"b\",\"a\"]", 2));
    assertEquals(List.of("a", "b"), kept.socketSettings().zones());
    assertEquals(2, kept.settings().limits().maxAttempts());
  }

  @Test
  void deadlinesTargetsAndAttemptsMustBeAboveZero() {
    for (String number : List.of("0", "-5", "\"soon\"", "null", "\"NaN\"")) {
      String lane = lane("a", "safe", "");
      assertThrows(InputException.class, () -> namedSettings(2, lane.replace("100", number)), number);
      assertThrows(InputException.class, () -> namedSettings(2, lane.replace("500", number)), number);
    }
    assertThrows(InputException.class, () -> namedSettings(0, lane("a", "safe", "")));
    assertThrows(InputException.class, () -> namedSettings(-1, lane("a", "safe", "")));
  }

  @Test
  void theKeyPathsOfAListAreThoseThatAllItsEntriesHave() {
    JsonObject object = JsonParser.parseString(
        "{\"a\":{\"b\":1,\"none\":null},\"l\":[{\"x\":1,\"y\":2},{\"x\":3}],\"e\":[]}").getAsJsonObject();
    assertEquals(Set.of("a", "a.b", "l", "l.*.x", "e"), KeyPaths.of(object));
  }
}

package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.settings.Address;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The lists that a watch delivers, against a scripted discovery. */
@Timeout(30)
class HostListWatcherTest extends HostListWatcherFixture {

  @Test
  void allFieldsOfAnEntryAreReadAndALineMayBeSplitOverChunks() throws Exception {
    String host = "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:7\",\"site\":\"a\",\"class\":\"m2\",\"block\":3,"
        + "\"health\":\"Terminating\",\"share\":1.5,\"born_ms\":7}";
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      String second = list(43, false, host);
      peer.say(HEAD + chunk(list(42, true, "")) + chunk("\n") + chunk(second.substring(0, 9)));
      peer.say(chunk(second.substring(9)));
      peer.beSilent();
    })) {
      openWatch(discovery, 5000);
      assertTrue(next().whole());
      HostList list = next();
      assertEquals(new HostList.Host("s-1", Address.parse("127.0.0.1:7"),
          "a", "m2", 3, HostList.Health.TERMINATING, 1.5, 7),
          list.hosts().get(0));
      assertEquals("GET /discovery/hosts?watch=1&from=41 HTTP/1.1", discovery.nextLine());
    }
  }

  /** Lists may be indented, and one that is cut off must not swallow those after it. */
  @Test
  void aListMayBeIndentedAndOneThatIsCutOffMakesTheWholeListBeRequested() throws Exception {
    String entry = "{\"host\":\"s-\\\\\\\"}{\",\"health\":\"Gone\"}";
    String indented = new GsonBuilder().setPrettyPrinting().create()
        .toJson(JsonParser.parseString(list(42, true, entry)));
    assertTrue(indented.lines().count() > 8);
    try (Stub discovery = new Stub(peer -> {
      boolean again = peer.head().contains("from=0 ");
      peer.say(HEAD);
      for (int i = 0; !again && i < indented.length(); i += 7) {
        peer.say(chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
      }
      peer.say(again ? chunk(list(44, true, "")) : chunk("\r\n\n{\n  \"seq\":\n\n"));
      peer.beSilent();
    })) {
      openWatch(discovery, 5000);
      assertEquals("s-\\\"}{", next().hosts().get(0).host());
      assertEquals(44, next().version());
    }
  }

  @Test
  void aLineThatIsNoListMakesTheWholeListBeRequested() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      String head = peer.head();
      peer.say(HEAD + chunk(head.contains("from=0") ? list(45, true, "") : "{\"seq\":42}\n"));
      peer.beSilent();
    })) {
      openWatch(discovery, 5000);
      assertEquals(45, next().version());
    }
  }

  @Test
  void textThatIsNoListIsRejected() {
    for (String text : new String[] {"[]", "{}", "{\"seq\":1,\"whole\":true}", "7"}) {
      assertThrows(JsonParseException.class, () -> HostList.parse(text), text);
    }
  }

  /** A malformed entry, such as one whose port is out of range, must not make the whole list fail. */
  @Test
  void malformedEntriesAreIgnored() {
    HostList list = HostList.parse(list(1, true, "{},7,"
        + "{\"host\":\"a\",\"dial\":\"nowhere\",\"health\":\"Ready\"},"
        + "{\"host\":\"b\",\"dial\":\"1.2.3.4:70000\",\"health\":\"Ready\"},"
        + "{\"host\":\"c\",\"dial\":\"1.2.3.4:5\",\"health\":\"Fine\"},"
        + "{\"host\":\"d\",\"health\":\"Gone\"}"));
    assertEquals(1, list.hosts().size());
    assertEquals("d", list.hosts().get(0).host());
    assertEquals(HostList.Health.GONE, list.hosts().get(0).health());
  }

  /** A response may have neither a length nor chunks. */
  @Test
  void aWatchWithoutALengthIsReadAsItArrives() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\n\r\n" + list(44, true, ""));
      peer.say(list(45, false, ""));
      peer.beSilent();
    })) {
      openWatch(discovery, 5000);
      assertEquals(44, next().version());
      assertEquals(45, next().version());
    }
  }
}

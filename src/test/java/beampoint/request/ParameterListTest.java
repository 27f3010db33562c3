package beampoint.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.buffer.MessageBuilder;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The parameter list as it is sent to a server. */
class ParameterListTest {

  private static final MemoryManager<?> MEMORY = MemoryManager.DEFAULT_MEMORY_MANAGER;
  private static final String BEFORE = "mg 7f3a P";

  /** A list within a longer buffer, as it is after a read. */
  private static ParameterList list(String text) {
    Buffer whole = Buffers.wrap(MEMORY, (BEFORE + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    whole.position(BEFORE.length());
    whole.limit(BEFORE.length() + text.length());
    int name = ("," + text).indexOf(",d=");
    if (name < 0) {
      return new ParameterList(whole, 0, 0);
    }
    int from = name + "d=".length();
    int comma = text.indexOf(',', from);
    int to = comma < 0 ? text.length() : comma;
    return new ParameterList(whole, BEFORE.length() + from, BEFORE.length() + to);
  }

  private static String written(ParameterList list, long timeLeftMs) {
    MessageBuilder request = new MessageBuilder(MEMORY);
    list.appendTo(request, timeLeftMs);
    return request.message().toStringContent(StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
      "d=480,c=read,t=acme|d=37,c=read,t=acme",
      "c=read,t=acme,d=480|c=read,t=acme,d=37",
      "c=read,d=480,t=acme,k=5c0f|c=read,d=37,t=acme,k=5c0f",
      "d=480|d=37",
      "c=read,d=5,kd=480,r=1|c=read,d=37,kd=480,r=1"})
  void timeLeftReplacesTheTimeOfTheClient(String received, String expected) {
    assertEquals(expected, written(list(received), 37));
    assertEquals(expected, written(list(received).copy(MEMORY), 37), "from a buffer of its own");
  }

  @Test
  void listWithoutATimeIsUnchanged() {
    assertEquals("c=read,kd=480", written(list("c=read,kd=480"), 37));
    assertEquals("c=read,kd=480", written(list("c=read,kd=480").copy(MEMORY), 37));
  }

  @Test
  void listCanBeWrittenTwice() {
    ParameterList list = list("c=read,d=480,t=acme");
    assertEquals("c=read,d=400,t=acme", written(list, 400));
    assertEquals("c=read,d=1,t=acme", written(list, 1));
    assertEquals("c=read,d=480,t=acme".length(), list.size());
  }
}

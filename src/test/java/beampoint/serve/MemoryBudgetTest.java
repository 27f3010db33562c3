package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a proxy holds for others is bounded, and at the bound others are still served. */
@Timeout(60)
class MemoryBudgetTest {

  /** The memory of a proxy whose budget is 128 KiB, in MB. */
  private static final int SMALL_MEMORY_MB = 1;

  private static String read(String id) {
    return "mg 7f v O" + id + " Pc=read,t=acme,d=4000\r\n";
  }

  /**
   * Guards against a connection to the origin that is never read again, because its answer was complete while
   * the memory was used up: the next request on it timed out.
   */
  @Test
  void aConnectionWhoseAnswerCameWithoutFreeMemoryIsStillRead() throws Exception {
    try (Stub origin = new Stub(peer -> {
      while (peer.head() != null) {
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");
      }
    }); ProxyFixture proxy = ProxyFixture.withMemory(SMALL_MEMORY_MB, Stub.nobody(), origin.address());
        Client writer = new Client(proxy); Client reader = new Client(proxy)) {
      proxy.sendTo("origin");
      writer.send("ms 7f 400000 Ow Pc=put,t=acme,d=4000,k=5c\r\n" + "x".repeat(300_000));
      while (proxy.proxy.unreleased() < 300_000) {
        assertEquals("MN", reader.request("mn\r\n")); // until the part of the value was read
      }
      for (String id : new String[] {"1", "2", "3"}) {
        assertEquals("VA 5 O" + id, reader.request(read(id)));
        assertEquals("value", reader.line());
        Thread.sleep(30); // the connection has to rest before it is used again
      }
      assertEquals(0, proxy.proxy.counters().get(Counter.ATTEMPTS_TIMEOUT));
      assertEquals(1, origin.connections());
    }
  }
}

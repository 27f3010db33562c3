package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a proxy holds for others is bounded, and at the bound others are still served. */
@Timeout(60)
class MemoryBudgetTest {

  /** The memory of a proxy whose budget is 128 KiB, in MB. */
  private static final int SMALL_MEMORY_MB = 1;

  private static final int MEMORY_MB = 32;
  private static final int BUDGET_BYTES = MEMORY_MB * 1024 * 1024 / 8;
  private static final int SLOW_CLIENTS = 20;
  private static final int READS = 128; // of each, sent at once
  private static final int VALUE_BYTES = 60_000;

  private static String read(String id) {
    return "mg 7f v O" + id + " Pc=read,t=acme,d=4000\r\n";
  }

  /** A cache node that has a long value for each key that begins with 7, and a short one for the others. */
  private static Stub cacheWithLongValues(String longValue) throws Exception {
    return new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        String value = line.startsWith("mg 7") ? longValue : "short";
        peer.say("VA " + value.length() + " " + line.split(" ")[3] + "\r\n" + value + "\r\n");
      }
    });
  }

  private static long usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Guards against answers that fill the heap: clients that send many reads at once and read the answers
   * slowly ended the process, or made it answer nothing any more.
   */
  @Test
  void clientsThatSendManyReadsAndReadSlowlyHoldLittleMemory() throws Exception {
    List<Client> slow = new ArrayList<>();
    String value = "x".repeat(VALUE_BYTES);
    try (Stub cache = cacheWithLongValues(value);
        ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_MB, cache.address(), Stub.nobody());
        Client quick = new Client(proxy)) {
      proxy.sendTo("cache");
      long before = usedHeapBytes();
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        slow.add(new Client(proxy.port, 16 * 1024));
        slow.get(i).send(longReads(i));
        for (int j = 0; j < 10; j++) {
          String id = "q" + i + "x" + j;
          assertEquals("VA 5 O" + id, quick.request("mg 5 v O" + id + " Pc=read,t=acme,d=4000\r\n"));
          assertEquals("short", quick.line());
        }
      }
      long growth = usedHeapBytes() - before;
      assertTrue(growth < 3 * BUDGET_BYTES, "the answers that are not read take " + growth + " bytes");
      assertTrue(proxy.proxy.unreleased() <= BUDGET_BYTES, "held: " + proxy.proxy.unreleased());
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        for (int j = 0; j < READS; j++) {
          assertAnswered(slow.get(i), "s" + i + "x" + j, value);
        }
      }
      awaitHeld(proxy, held -> held == 0);
    } finally {
      Client.closeAll(slow);
    }
  }

  private static String longReads(int client) {
    StringBuilder reads = new StringBuilder();
    for (int j = 0; j < READS; j++) {
      reads.append("mg 7 v Os" + client + "x" + j + " Pc=read,t=acme,d=60000\r\n");
    }
    return reads.toString();
  }

  private static void assertAnswered(Client client, String id, String value) throws Exception {
    assertEquals("VA " + value.length() + " O" + id, client.line());
    assertEquals(value.hashCode(), client.bytes(value.length()).hashCode());
    assertEquals("", client.line());
  }

  private static void awaitHeld(ProxyFixture proxy, LongPredicate condition) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!condition.test(proxy.proxy.unreleased())) {
      assertTrue(System.nanoTime() < giveUpAt, "still held: " + proxy.proxy.unreleased());
      Thread.sleep(1);
    }
  }

  /** Guards against memory that stays counted for clients that have left without reading their answers. */
  @Test
  void nothingIsHeldForClientsThatHaveLeft() throws Exception {
    List<Client> slow = new ArrayList<>();
    try (Stub cache = cacheWithLongValues("x".repeat(VALUE_BYTES));
        ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_MB, cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        slow.add(new Client(proxy.port, 16 * 1024));
        slow.get(i).send(longReads(i));
      }
      awaitHeld(proxy, held -> held >= VALUE_BYTES);
      Client.closeAll(slow);
      awaitHeld(proxy, held -> held == 0);
    } finally {
      Client.closeAll(slow);
    }
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
      awaitHeld(proxy, held -> held >= 300_000);
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

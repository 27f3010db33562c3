package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.TestHeap;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
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

  private static final int LONG_WRITERS = 20;
  private static final int LONG_READERS = 20;
  private static final int SHORT_WRITES = 40;
  private static final int SHORT_VALUE_BYTES = 20_000;
  private static final int ANSWER_LINE_BYTES = 40; // at most
  private static final int LONG_VALUE_BYTES = 1024 * 1024 - 2; // 1 MiB with the line end

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
      long before = TestHeap.usedBytes();
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        slow.add(new Client(proxy.port, 16 * 1024));
        slow.get(i).send(longReads(i));
        for (int j = 0; j < 10; j++) {
          String id = "q" + i + "x" + j;
          assertEquals("VA 5 O" + id, quick.request("mg 5 v O" + id + " Pc=read,t=acme,d=4000\r\n"));
          assertEquals("short", quick.line());
        }
      }
      long growth = TestHeap.usedBytes() - before;
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

  /** An origin that reads requests whole, and answers each for a key that begins with 7 once it may. */
  private static Stub waitingOrigin(CountDownLatch mayAnswer) throws Exception {
    return new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        peer.bytes(bodyLength(head));
        if (head.startsWith("PUT /7")) {
          mayAnswer.await();
        }
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt");
      }
    });
  }

  private static int bodyLength(String head) {
    return head.lines().filter(line -> line.startsWith("Content-Length: "))
        .mapToInt(line -> Integer.parseInt(line.substring("Content-Length: ".length()))).findFirst()
        .orElse(0);
  }

  /**
   * Guards against long values that are read one after the other and fill the heap while the origin takes its
   * time: requests got no answer, reads a wrong value, and the process ended.
   */
  @Test
  void longValuesThatAwaitTheOriginHoldNoMoreThanTheBudget() throws Exception {
    List<Client> writers = new ArrayList<>();
    CountDownLatch mayAnswer = new CountDownLatch(1);
    try (Stub origin = waitingOrigin(mayAnswer);
        ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_MB, Stub.nobody(), origin.address())) {
      proxy.sendTo("origin");
      for (int i = 0; i < LONG_WRITERS; i++) {
        writers.add(new Client(proxy));
        writers.get(i).send("ms 7f " + LONG_VALUE_BYTES + " Ow" + i + " Pc=put,t=acme,d=30000,k=5c\r\n"
            + "x".repeat(LONG_VALUE_BYTES / 2));
      }
      for (Client writer : writers) {
        writer.send("x".repeat(LONG_VALUE_BYTES - LONG_VALUE_BYTES / 2) + "\r\n");
      }
      awaitCount(() -> proxy.proxy.counters().get(Counter.REQUESTS_TAKEN), LONG_WRITERS);
      mayAnswer.countDown();
      int served = 0;
      for (int i = 0; i < LONG_WRITERS; i++) {
        String answer = writers.get(i).line();
        served += answer.equals("HD Ow" + i + " creceipt") ? 1 : 0;
        assertTrue(answer.startsWith("HD Ow" + i) || answer.startsWith("SERVER_ERROR busy"), answer);
      }
      assertTrue(served >= 1, "served: " + served);
      long peak = proxy.proxy.counters().get(Counter.MEMORY_HELD_PEAK_BYTES);
      assertTrue(peak <= BUDGET_BYTES + LONG_WRITERS * ANSWER_LINE_BYTES, "held: " + peak);
      awaitHeld(proxy, held -> held == 0);
    } finally {
      Client.closeAll(writers);
    }
  }

  private static void awaitCount(LongSupplier counter, long count) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (counter.getAsLong() < count) {
      assertTrue(System.nanoTime() < giveUpAt, counter.getAsLong() + " of " + count);
      Thread.sleep(1);
    }
  }

  /** An origin that answers each read with a chunked value, the second half once the test allows it. */
  private static Stub chunkedOrigin(String value, CountDownLatch mayGoOn) throws Exception {
    String half = value.substring(0, value.length() / 2);
    String chunk = Integer.toHexString(half.length()) + "\r\n" + half + "\r\n";
    return new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
        mayGoOn.await();
        peer.say(chunk + "0\r\n\r\n");
      }
    });
  }

  /**
   * Guards against replies without a length that fill the heap one after the other, and against replies that
   * wait for memory while their callers' time runs: each read is served or refused at once.
   */
  @Test
  void chunkedRepliesHoldNoMoreThanTheBudgetAndNoneWaits() throws Exception {
    List<Client> readers = new ArrayList<>();
    CountDownLatch mayGoOn = new CountDownLatch(1);
    String value = "x".repeat(LONG_VALUE_BYTES);
    try (Stub origin = chunkedOrigin(value, mayGoOn);
        ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_MB, Stub.nobody(), origin.address())) {
      proxy.sendTo("origin");
      for (int i = 0; i < LONG_READERS; i++) {
        readers.add(new Client(proxy.port, 16 * 1024));
        readers.get(i).send("mg 7f v Or" + i + " Pc=read,t=acme,d=30000\r\n");
      }
      awaitCount(() -> proxy.proxy.counters().get(Counter.ATTEMPTS_DISCARDED), 1);
      mayGoOn.countDown();
      int served = 0;
      for (int i = 0; i < LONG_READERS; i++) {
        String answer = readers.get(i).line();
        if (answer.startsWith("VA ")) {
          served++;
          assertEquals("VA " + LONG_VALUE_BYTES + " Or" + i, answer);
          assertEquals(value.hashCode(), readers.get(i).bytes(LONG_VALUE_BYTES).hashCode());
        } else {
          assertEquals("SERVER_ERROR busy", answer);
        }
      }
      assertTrue(served >= 1, "served: " + served);
      assertEquals(0, proxy.proxy.counters().get(Counter.ATTEMPTS_TIMEOUT));
      assertEquals(0, proxy.proxy.counters().get(Counter.UPSTREAM_BAD_REPLIES));
      long peak = proxy.proxy.counters().get(Counter.MEMORY_HELD_PEAK_BYTES);
      assertTrue(peak <= BUDGET_BYTES + LONG_READERS * ANSWER_LINE_BYTES, "held: " + peak);
      awaitHeld(proxy, held -> held == 0);
    } finally {
      Client.closeAll(readers);
    }
  }

  /** Writes a short value in two pieces, and returns the first line of the answer. */
  private static String writeInPieces(Client client, String id) throws Exception {
    client.send("ms 5 " + SHORT_VALUE_BYTES + " O" + id + " Pc=put,t=acme,d=4000,k=5c\r\n"
        + "x".repeat(SHORT_VALUE_BYTES / 2));
    Thread.sleep(5);
    return client.request("x".repeat(SHORT_VALUE_BYTES - SHORT_VALUE_BYTES / 2) + "\r\n");
  }

  /** Guards against a budget that is larger than the heap, where the platform grants much more memory. */
  @Test
  void theBudgetIsAPartOfTheHeapHoweverMuchMemoryIsConfigured() {
    long heapBytes = 64L * 1024 * 1024;
    long megabyte = 1024 * 1024;
    assertEquals(24 * megabyte, Proxy.budgetBytes(192, heapBytes, 1));
    assertEquals(12 * megabyte, Proxy.budgetBytes(192, heapBytes, 2));
    assertEquals(24 * megabyte, Proxy.budgetBytes(2048, heapBytes, 1));
    assertEquals(24 * megabyte, Proxy.budgetBytes(2048, heapBytes, 2), "each process has its own heap");
  }

  private static String longWrite(int number) {
    return "ms 7f " + LONG_VALUE_BYTES + " Ow" + number + " Pc=put,t=acme,d=30000,k=5c\r\n";
  }

  /**
   * Guards against long values that hold up all other writes: while more of them are on their way than the
   * memory holds, short writes are served.
   */
  @Test
  void shortWritesAreServedBesideSlowLongValues() throws Exception {
    List<Client> writers = new ArrayList<>();
    try (Stub origin = waitingOrigin(new CountDownLatch(1));
        ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_MB, Stub.nobody(), origin.address());
        Client quick = new Client(proxy)) {
      proxy.sendTo("origin");
      for (int i = 0; i < LONG_WRITERS; i++) {
        writers.add(new Client(proxy));
        writers.get(i).send(longWrite(i) + "x".repeat(LONG_VALUE_BYTES / 3));
      }
      assertShortWritesAreServed(quick);
      Client.closeAll(writers);
      awaitHeld(proxy, held -> held == 0);
    } finally {
      Client.closeAll(writers);
    }
  }

  /**
   * Guards against long values that take all memory while they wait for the origin: they leave room for
   * shorter ones, which are served and not refused.
   */
  @Test
  void shortWritesAreServedWhileLongValuesAwaitTheOrigin() throws Exception {
    List<Client> writers = new ArrayList<>();
    CountDownLatch mayAnswer = new CountDownLatch(1);
    try (Stub origin = waitingOrigin(mayAnswer);
        ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_MB, Stub.nobody(), origin.address());
        Client quick = new Client(proxy)) {
      proxy.sendTo("origin");
      for (int i = 0; i < LONG_WRITERS; i++) {
        writers.add(new Client(proxy));
        writers.get(i).send(longWrite(i) + "x".repeat(LONG_VALUE_BYTES) + "\r\n");
        awaitCount(() -> proxy.proxy.counters().get(Counter.REQUESTS_TAKEN), i + 1);
      }
      assertShortWritesAreServed(quick);
      mayAnswer.countDown();
      int served = 0;
      for (int i = 0; i < LONG_WRITERS; i++) {
        served += writers.get(i).line().equals("HD Ow" + i + " creceipt") ? 1 : 0;
      }
      assertTrue(served >= BUDGET_BYTES / LONG_VALUE_BYTES / 2, "served: " + served);
      awaitHeld(proxy, held -> held == 0);
    } finally {
      Client.closeAll(writers);
    }
  }

  private static void assertShortWritesAreServed(Client client) throws Exception {
    for (int i = 0; i < SHORT_WRITES; i++) {
      assertEquals("HD Oq" + i + " creceipt", writeInPieces(client, "q" + i));
    }
  }
}

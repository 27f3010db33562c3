import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that write one long value each, all at the same time, beside a client that reads small values. All
 * servers answer soon. Without the disruption the written values are short.
 */
final class LongWrites {

  private static final int CLIENTS = 40;
  private static final int LONG_BYTES = 4 * 1024 * 1024; // "up to 4 MiB"
  private static final int SHORT_BYTES = 64_000;
  private static final int ROUNDS = 5;
  private static final double BETWEEN_ROUNDS_MS = 1500;
  private static final double ORIGIN_MS = 100;
  private static final int WRITE_WAIT_MS = 4000; // "given up after 42 to 80%" of 5 s
  private static final int READ_WAIT_MS = 960; // and of 1.2 s
  private static final int LATE_MS = 500; // "Up to half a second after its time it only earns nothing"

  private final boolean trouble;
  private final Kit.Log log;
  private final Set<String> ran = ConcurrentHashMap.newKeySet(); // ids of the writes that the origin got
  private final AtomicInteger sent = new AtomicInteger(); // written whole
  private final AtomicInteger unsent = new AtomicInteger();
  private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger reads = new AtomicInteger();
  private volatile boolean over;

  private LongWrites(boolean trouble, Kit.Log log) {
    this.trouble = trouble;
    this.log = log;
  }

  /** Runs the case; returns true if the rule held. */
  static boolean run(Path repository, boolean trouble, Kit.Log log) throws Exception {
    return new LongWrites(trouble, log).run(repository);
  }

  private boolean run(Path repository) throws Exception {
    Kit.Server cache = Kit.cache(key -> Kit.bytes("value of " + key));
    Kit.Server origin = new Kit.Server(0, this::serveOrigin);
    String list = Kit.list(
        List.of(Kit.host("c1", cache.address(), "m2"), Kit.host("origin", origin.address(), "origin")));
    Kit.Server discovery = Kit.discovery(list);
    boolean crashed;
    try (Kit.Proxy proxy = new Kit.Proxy(repository, list, discovery.address(),
        Kit.settings(Kit.docsLanes()), 192)) {
      log.add("the proxy is ready, process %d", proxy.pid());
      Thread reader = Kit.thread("reader", () -> read(proxy));
      Kit.sleep(1000);
      for (int round = 0; round < ROUNDS && proxy.isAlive(); round++) {
        log.add("round %d: %d clients write %d bytes each", round, CLIENTS, bytes());
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          String id = "w" + round + "x" + i;
          writers.add(Kit.thread("writer", () -> write(proxy.port, id)));
        }
        for (Thread writer : writers) {
          writer.join(15_000);
        }
        log.add("round %d: resident %s, process alive: %b", round, proxy.memory(), proxy.isAlive());
        Kit.sleep(BETWEEN_ROUNDS_MS);
      }
      over = true;
      reader.join(3000);
      crashed = !proxy.isAlive();
      log.add("process alive: %b, answers mn: %b", proxy.isAlive(), proxy.isReady());
      log.add("OutOfMemoryError in the log of the proxy: %d times", proxy.logCount("OutOfMemoryError"));
      for (String line : proxy.logTail(6)) {
        log.add("log of the proxy: %s", line);
      }
    }
    log.add("writes sent whole %d, not sent whole %d, answers %s; reads answered %d; LOST %d; crashed: %b",
        sent.get(), unsent.get(), answers, reads.get(), lost.get(), crashed);
    if (sent.get() == 0 || reads.get() == 0) {
      throw new Kit.CannotRun("nothing was sent or answered");
    }
    return !crashed && lost.get() == 0;
  }

  private int bytes() {
    return trouble ? LONG_BYTES : SHORT_BYTES;
  }

  /** Writes one value; once its last byte is written it is owed a final answer in time. */
  private void write(int port, String id) throws IOException {
    try (Kit.Client client = new Kit.Client(port, 0)) {
      try {
        client.send(Kit.write("b" + id, id, "publish-version", WRITE_WAIT_MS, null, new byte[bytes()]));
      } catch (IOException e) {
        unsent.incrementAndGet(); // the connection ended before the last byte: not taken
        log.add("%s could not be sent whole: %s", id, e.getMessage());
        return;
      }
      sent.incrementAndGet();
      double sentAt = Kit.now();
      String outcome = outcome(client, WRITE_WAIT_MS + LATE_MS);
      log.add("%s is answered after %.0f ms: %s; at the origin: %b", id, Kit.now() - sentAt, outcome,
          ran.contains(id));
      if (outcome.startsWith("LOST")) {
        lost.incrementAndGet();
      } else {
        answers.computeIfAbsent(outcome.replaceAll(" O.*| [0-9]+$", ""), key -> new AtomicInteger())
            .incrementAndGet();
      }
    }
  }

  private static String outcome(Kit.Client client, int timeoutMs) {
    try {
      Kit.Client.Answer answer = client.answer(timeoutMs);
      return answer == null ? "LOST, the connection ended with no answer" : answer.line();
    } catch (SocketTimeoutException e) {
      return "LOST, no answer within its time and half a second";
    } catch (IOException e) {
      return "LOST, the connection ended with no answer: " + e.getMessage();
    }
  }

  /** Reads that hit the cache, twenty a second; each is owed a final answer in time. */
  private void read(Kit.Proxy proxy) throws IOException {
    Kit.Client client = new Kit.Client(proxy.port, 0);
    for (int i = 0; !over; i++) {
      Kit.sleep(50);
      try {
        client.send(Kit.read("a" + Integer.toHexString(i % 50), "r" + i, "page-read", READ_WAIT_MS));
      } catch (IOException e) {
        client.close();
        client = new Kit.Client(proxy.port, 0);
        continue;
      }
      String outcome = outcome(client, READ_WAIT_MS + LATE_MS);
      if (outcome.startsWith("LOST")) {
        lost.incrementAndGet();
        log.add("read r%d: %s", i, outcome);
        client.close();
        client = new Kit.Client(proxy.port, 0);
      } else {
        reads.incrementAndGet();
      }
    }
  }

  private void serveOrigin(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    for (Kit.Head head = Kit.Head.read(in); head != null; head = Kit.Head.read(in)) {
      Kit.exactly(in, head.length());
      ran.add(head.id());
      Kit.sleep(ORIGIN_MS);
      socket.getOutputStream().write(Kit.httpAnswer(200, Kit.bytes("receipt-" + head.id())));
    }
  }
}

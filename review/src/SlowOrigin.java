import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keyed writes of long values. The origin carries each out and answers 500 (it may have run), so the proxy
 * sends it again; with the disruption the origin takes 2.5 s to read that second attempt: nothing for 2.3 s,
 * then all of it in pieces. The origin drops a repeat of a key for 2.2 s: the 2 s of
 * the settings, and the slack of the pages. It carries nothing out whose time is over.
 */
final class SlowOrigin {

  // The time for which a repeat is dropped: 2 s by the settings, and the slack of the pages: 50 ms on sockets,
  // and 0.15 s for a proxy that is held up between its clock and its write.
  private static final int WINDOW_MS = 2000 + 50 + 150;
  private static final double WAIT_BEFORE_READ_MS = 2300; // "peers take seconds to read"
  private static final double READ_MS = 200;
  private static final int PIECES = 60;
  private static final int VALUE_BYTES = 4 * 1024 * 1024; // "up to 4 MiB"
  private static final int WAIT_MS = 3000; // the deadline of feedback-post
  private static final int WRITES = 8;
  private static final int LATE_MS = 500;

  private final boolean trouble;
  private final Kit.Log log;
  private final Map<String, Double> ranAt = new HashMap<>(); // by idempotency key, when it ran last
  private final Map<String, Integer> runs = new HashMap<>();
  private final Set<String> seen = ConcurrentHashMap.newKeySet(); // ids of requests
  private final AtomicInteger repeats = new AtomicInteger();
  private volatile boolean over;

  private SlowOrigin(boolean trouble, Kit.Log log) {
    this.trouble = trouble;
    this.log = log;
  }

  /** Runs the case; returns true if the rule held. */
  static boolean run(Path repository, boolean trouble, Kit.Log log) throws Exception {
    return new SlowOrigin(trouble, log).run(repository);
  }

  private boolean run(Path repository) throws Exception {
    Kit.Server cache = Kit.cache(key -> Kit.bytes("value of " + key));
    Kit.Server origin = new Kit.Server(64 * 1024, this::serveOrigin);
    String list = Kit.list(
        List.of(Kit.host("c1", cache.address(), "m2"), Kit.host("origin", origin.address(), "origin")));
    Kit.Server discovery = Kit.discovery(list);
    try (Kit.Proxy proxy = new Kit.Proxy(repository, list, discovery.address(),
        Kit.settings(Kit.docsLanes()), 192)) {
      log.add("the proxy is ready, process %d", proxy.pid());
      Thread reader = Kit.thread("reader", () -> read(proxy.port));
      Kit.sleep(1000);
      for (int i = 0; i < WRITES; i++) {
        write(proxy.port, i);
        Kit.sleep(500);
      }
      over = true;
      reader.join(3000);
      log.add("counters: %s", proxy.counters());
    }
    int twice = 0;
    synchronized (this) {
      for (Map.Entry<String, Integer> entry : runs.entrySet()) {
        twice += entry.getValue() > 1 ? 1 : 0;
      }
      log.add("keys: %d, sent again by the proxy: %d, carried out more than once: %d", runs.size(),
          repeats.get(), twice);
      if (repeats.get() == 0) {
        throw new Kit.CannotRun("the proxy repeated no write");
      }
    }
    return twice == 0;
  }

  /** Reads that hit the cache, twenty a second, as the usual traffic. */
  private void read(int port) throws IOException {
    try (Kit.Client client = new Kit.Client(port, 0)) {
      for (int i = 0; !over; i++) {
        client.send(Kit.read("a" + Integer.toHexString(i % 50), "r" + i, "page-read", 1200));
        client.answer(3000);
        Kit.sleep(50);
      }
    }
  }

  private void write(int port, int number) throws IOException {
    String key = "k" + number;
    try (Kit.Client client = new Kit.Client(port, 0)) {
      log.add("client sends w%d, key %s, d=%d, %d bytes", number, key, WAIT_MS, VALUE_BYTES);
      client.send(Kit.write("b" + number, "w" + number, "feedback-post", WAIT_MS, key, new byte[VALUE_BYTES]));
      Kit.Client.Answer answer = client.answer(WAIT_MS + LATE_MS);
      log.add("client is answered w%d: %s", number, answer == null ? "closed" : answer.line());
    } catch (SocketTimeoutException e) {
      log.add("client is not answered w%d", number);
    }
  }

  private void serveOrigin(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    for (Kit.Head head = Kit.Head.read(in); head != null; head = Kit.Head.read(in)) {
      boolean first = seen.add(head.id());
      double endsAt = Kit.now() + Double.parseDouble(head.parameters().get("d"));
      log.add("origin gets the head of attempt %d of %s, d=%s", first ? 1 : 2, head.id(),
          head.parameters().get("d"));
      if (first || !trouble) {
        Kit.exactly(in, head.length());
      } else {
        readSlowly(socket, in, head);
      }
      boolean dropped = Kit.now() >= endsAt || !carryOut(head.parameters().get("k"));
      log.add("origin has the last byte of attempt %d of %s: %s", first ? 1 : 2, head.id(),
          dropped ? "dropped" : "CARRIED OUT");
      repeats.addAndGet(first ? 0 : 1);
      socket.getOutputStream().write(Kit.httpAnswer(first ? 500 : 200, Kit.bytes("receipt-" + head.id())));
    }
  }

  /** Reads nothing for some time, and then the whole body in pieces. */
  private void readSlowly(Socket socket, InputStream in, Kit.Head head) throws IOException {
    double beganAt = Kit.now();
    Kit.sleepUntil(beganAt + WAIT_BEFORE_READ_MS);
    long inSystem = inSystemBuffers(socket);
    log.add("the window of %s has ended; of its %d bytes the system's buffers hold %d, so the proxy holds %d",
        head.id(), head.length(), inSystem, Math.max(0, head.length() - inSystem));
    for (int i = 0; i < PIECES; i++) {
      Kit.sleepUntil(beganAt + WAIT_BEFORE_READ_MS + (i + 1) * READ_MS / PIECES);
      Kit.exactly(in, (int) ((i + 1L) * head.length() / PIECES - (long) i * head.length() / PIECES));
    }
  }

  /** The bytes that the system holds of what the proxy has written on a connection, on both of its sides. */
  private static long inSystemBuffers(Socket socket) throws IOException {
    String proxySide = String.format(":%04X", socket.getPort());
    String originSide = String.format(":%04X", socket.getLocalPort());
    long bytes = 0;
    for (String line : Files.readAllLines(Path.of("/proc/net/tcp"))) {
      String[] words = line.strip().split("\\s+");
      if (words[1].endsWith(proxySide) && words[2].endsWith(originSide)) {
        bytes += Long.parseLong(words[4].substring(0, 8), 16);
      } else if (words[1].endsWith(originSide) && words[2].endsWith(proxySide)) {
        bytes += Long.parseLong(words[4].substring(9), 16);
      }
    }
    return bytes;
  }

  /** Carries a write out unless it is a repeat within the window; true if it did. */
  private synchronized boolean carryOut(String key) {
    Double before = ranAt.get(key);
    if (before != null && Kit.now() - before <= WINDOW_MS) {
      return false;
    }
    ranAt.put(key, Kit.now());
    runs.merge(key, 1, Integer::sum);
    return true;
  }
}

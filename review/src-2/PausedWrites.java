import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients write values of 4 MiB in 6 s each, more at once than the proxy's memory for them holds. Others write
 * values of 20 KB in two pieces. Each of these has to get its final answer at most half a second after its
 * time. Then its client closes its connection, and no attempt may begin for it more than 0.1 s later. The client
 * sends the write once more, with the same idempotency key, which the origin remembers for the class's window.
 */
final class PausedWrites {
  private static final int LONG_WRITERS = 16;
  private static final int LONG_BYTES = 4 << 20;
  private static final int LONG_WRITE_MS = 6000;
  private static final int PIECE_INTERVAL_MS = 50;
  private static final int WRITERS = 10;
  private static final int WRITES = 24;
  private static final int BYTES = 20_000;
  private static final int PIECE_PAUSE_MS = 30;
  private static final int DEADLINE_MS = 1200;
  private static final int SLACK_MS = 550; // half a second, and 50 ms as for every limit on sockets
  private static final int GONE_SLACK_MS = 150; // 0.1 s, and 50 ms as for every limit on sockets
  private static final int WINDOW_MS = 2000;
  private static final Map<String, Double> GONE_AT = new ConcurrentHashMap<>(); // by id: when its client closed

  private PausedWrites() {}

  public static void main(String[] args) {
    Stage.run(args[0], PausedWrites::holds);
  }

  private static boolean holds(Stage stage) throws Exception {
    AtomicInteger begunLate = new AtomicInteger();
    AtomicInteger appliedTwice = new AtomicInteger();
    Map<String, Double> appliedAt = new ConcurrentHashMap<>(); // by idempotency key
    List<Stage.Entry> entries = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      entries.add(new Stage.Entry("cache-" + i, stage.cache("cache-" + i,
          (wire, work) -> wire.write("VA 5 O" + work.id() + "\r\nhello\r\n")), "m2"));
    }
    entries.add(new Stage.Entry("origin", stage.origin((wire, work) -> {
      Double goneAt = GONE_AT.get(work.id());
      double since = goneAt == null ? 0 : stage.now() - goneAt;
      begunLate.addAndGet(since > GONE_SLACK_MS ? 1 : 0);
      stage.note("origin has " + work.id() + " with " + work.length() + " bytes, told d=" + work.extra().get("d")
          + (goneAt == null ? "" : ", BEGUN " + Math.round(since) + " ms after its client has gone"));
      String key = work.extra().get("k");
      if (key != null) {
        double now = stage.now();
        Double before = appliedAt.putIfAbsent(key, now);
        if (before != null && now - before > WINDOW_MS) {
          appliedTwice.incrementAndGet();
          stage.note("APPLIED AGAIN " + key + ", " + Math.round(now - before) + " ms after the first time");
        }
      }
      Thread.sleep(50);
      Stage.http(wire, 200, "r" + work.id());
    }), "origin"));
    int port = Stage.freePort();
    Stage.Proxy proxy = stage.start("n1", port, stage.config(port, stage.discovery(entries), entries,
        List.of(new Stage.Lane("page-read", "safe", "all", 0, 500, 1200),
            new Stage.Lane("publish-version", "unsafe", "all", 0, 1200, 5000),
            new Stage.Lane("feedback-post", "keyed", "all", WINDOW_MS, 800, DEADLINE_MS))));
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; Stage.TROUBLE && i < LONG_WRITERS; i++) {
      String id = String.format("l%015d", i);
      threads.add(Stage.thread("long-writer", () -> writeLongValue(stage, port, id)));
    }
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    for (int i = 0; i < WRITERS; i++) {
      int writer = i;
      threads.add(Stage.thread("writer", () -> {
        for (int n = 0; n < WRITES; n++) {
          sent.incrementAndGet();
          String id = String.format("s%07d%08d", writer, n);
          if (!isAnswered(stage, port, id)) {
            lost.incrementAndGet();
            sendAgain(stage, port, id);
          }
          Thread.sleep(300);
        }
      }));
    }
    for (Thread thread : threads) {
      thread.join(90_000);
    }
    if (!proxy.process.isAlive() || sent.get() < WRITERS * WRITES) {
      throw new IllegalStateException("the proxy has ended, or only " + sent + " writes could be sent");
    }
    stage.say("writes with no final answer half a second after their time: " + lost + " of " + sent
        + "; begun more than 0.1 s after their client has gone: " + begunLate
        + "; of these applied twice: " + appliedTwice);
    return lost.get() == 0 && begunLate.get() == 0;
  }

  /** Writes a long value evenly over its time. */
  private static void writeLongValue(Stage stage, int port, String id) throws IOException, InterruptedException {
    Thread.sleep(2000);
    try (Stage.Wire wire = Stage.Wire.connect(port)) {
      wire.socket.setSoTimeout(20_000);
      double begin = stage.now();
      wire.write("ms 9" + id.substring(1) + " " + LONG_BYTES + " O" + id
          + " Pc=publish-version,t=sabarmati-tools,d=5000\r\n");
      int pieces = LONG_WRITE_MS / PIECE_INTERVAL_MS;
      for (int i = 0; i < pieces; i++) {
        Thread.sleep((long) Math.max(0, begin + (i + 1) * PIECE_INTERVAL_MS - stage.now()));
        int from = (int) ((long) LONG_BYTES * i / pieces);
        int to = (int) ((long) LONG_BYTES * (i + 1) / pieces);
        wire.write(new byte[to - from]);
      }
      wire.write("\r\n");
      stage.note("client sent the last byte of " + id);
      stage.note("client got for " + id + ": " + wire.line());
    }
  }

  private static boolean isAnswered(Stage stage, int port, String id) throws IOException, InterruptedException {
    try (Stage.Wire wire = Stage.Wire.connect(port)) {
      wire.write("mg 5" + id.substring(1) + " v Of" + id.substring(1) + " Pc=page-read,t=sabarmati-tools,d="
          + DEADLINE_MS + "\r\n");
      String first = wire.line(); // the first request of a connection is not judged
      if (first != null && first.startsWith("VA ")) {
        wire.line();
      }
      wire.write("ms 7" + id.substring(1) + " " + BYTES + " O" + id + " Pc=feedback-post,t=sabarmati-tools,d="
          + DEADLINE_MS + ",k=" + id + "\r\n");
      wire.write(new byte[BYTES / 2]);
      Thread.sleep(PIECE_PAUSE_MS);
      wire.write(new byte[BYTES - BYTES / 2]);
      wire.write("\r\n");
      double sentAt = stage.now();
      wire.socket.setSoTimeout(DEADLINE_MS + SLACK_MS);
      try {
        String answer = wire.line();
        stage.note((answer == null ? "LOST " : "") + "client got for " + id + " after "
            + Math.round(stage.now() - sentAt) + " ms: " + answer);
        return answer != null;
      } catch (SocketTimeoutException e) {
        stage.note("LOST client got nothing for " + id + " in " + Math.round(stage.now() - sentAt)
            + " ms, and closes its connection");
        GONE_AT.put(id, stage.now());
        return false;
      } catch (IOException e) {
        stage.note("LOST client got for " + id + ": " + e);
        return false;
      }
    }
  }

  /** Sends a write once more, in one piece, with a new id and the idempotency key of the first time. */
  private static void sendAgain(Stage stage, int port, String key) {
    try (Stage.Wire wire = Stage.Wire.connect(port)) {
      wire.socket.setSoTimeout(DEADLINE_MS + SLACK_MS);
      String id = "r" + key.substring(1);
      wire.write("ms 7" + key.substring(1) + " " + BYTES + " O" + id + " Pc=feedback-post,t=sabarmati-tools,d="
          + DEADLINE_MS + ",k=" + key + "\r\n" + "x".repeat(BYTES) + "\r\n");
      stage.note("client got for " + id + ", the same write again: " + wire.line());
    } catch (IOException e) {
      stage.note("client got nothing for the same write again, " + key + ": " + e);
    }
  }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send 128 commands at once and take seconds to read the answers, beside a client that asks once
 * every 50 ms and reads at once. Without the disruption all clients read at once.
 */
final class SlowReaders {

  private static final int CLIENTS = 40;
  private static final int COMMANDS = 128; // of each of them, sent at once
  private static final int VALUE_BYTES = 64_000; // under the 64 KiB that a value may hold
  private static final double STAGGER_MS = 200; // so that 640 requests a second come
  private static final int PIECE_BYTES = 16 * 1024;
  private static final double PIECE_MS = 500; // so that an answer takes 2 s to be read
  private static final double RUN_MS = 20_000;
  private static final int WAIT_MS = 1200; // of the other client
  private static final int LATE_MS = 500; // "Up to half a second after its time it only earns nothing"

  private final boolean trouble;
  private final Kit.Log log;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger slowAnswered = new AtomicInteger();
  private volatile boolean over;

  private SlowReaders(boolean trouble, Kit.Log log) {
    this.trouble = trouble;
    this.log = log;
  }

  /** Runs the case; returns true if the rule held. */
  static boolean run(Path repository, boolean trouble, Kit.Log log) throws Exception {
    return new SlowReaders(trouble, log).run(repository);
  }

  private boolean run(Path repository) throws Exception {
    byte[] value = new byte[VALUE_BYTES];
    new Random(1).nextBytes(value);
    byte[] small = Kit.bytes("a small value");
    Kit.Values values = key -> key.startsWith("f") ? small : value;
    Kit.Server first = Kit.cache(values);
    Kit.Server second = Kit.cache(values);
    Kit.Server origin = new Kit.Server(0, socket -> {
      while (Kit.Head.read(socket.getInputStream()) != null) {
        socket.getOutputStream().write(Kit.httpAnswer(200, value));
      }
    });
    String list = Kit.list(List.of(Kit.host("c1", first.address(), "m2"),
        Kit.host("c2", second.address(), "m2"), Kit.host("origin", origin.address(), "origin")));
    Kit.Server discovery = Kit.discovery(list);
    boolean crashed;
    boolean hangs;
    try (Kit.Proxy proxy = new Kit.Proxy(repository, list, discovery.address(),
        Kit.settings(Kit.docsLanes()), 192)) {
      log.add("the proxy is ready, process %d", proxy.pid());
      double startedAt = Kit.now();
      Thread usual = Kit.thread("usual client", () -> askOneByOne(proxy));
      Kit.sleep(1000);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Kit.thread("client", () -> askAtOnce(proxy.port, number));
        Kit.sleep(STAGGER_MS);
      }
      while (Kit.now() - startedAt < RUN_MS && proxy.isAlive()) {
        Kit.sleep(500);
        log.add("process alive: %b, resident %s, answered to the usual client %d, lost %d, answered to the others %d",
            proxy.isAlive(), proxy.memory(), answered.get(), lost.get(), slowAnswered.get());
      }
      over = true;
      usual.join(5000);
      boolean ready = false;
      for (int i = 0; i < 10 && proxy.isAlive() && !ready; i++) {
        ready = proxy.isReady(); // waits for a second
      }
      crashed = !proxy.isAlive();
      hangs = !crashed && !ready && lost.get() > 0;
      log.add("process alive: %b, answers mn within 10 s: %b", proxy.isAlive(), ready);
      for (String line : proxy.logTail(12)) {
        log.add("log of the proxy: %s", line);
      }
    }
    log.add("usual client: answered %d, not answered %d; process crashed: %b, hangs: %b", answered.get(),
        lost.get(), crashed, hangs);
    if (answered.get() == 0) {
      throw new Kit.CannotRun("no request was answered at all");
    }
    // A process that ended by itself has crashed; one that answers neither mn nor requests hangs.
    return !crashed && !hangs;
  }

  /**
   * Sends one request after another on one connection; each is owed one final answer in time. A request whose
   * connection ends without an answer is sent once more on a new one, as it may have crossed the close.
   */
  private void askOneByOne(Kit.Proxy proxy) throws IOException {
    Kit.Client client = new Kit.Client(proxy.port, 0);
    for (int i = 0; !over; i++) {
      Kit.sleep(50);
      double sentAt = Kit.now();
      byte[] command = Kit.read("f" + Integer.toHexString(i), "u" + i, "page-read", WAIT_MS);
      String outcome = outcome(client, command);
      if ("ended".equals(outcome)) {
        client.close();
        try {
          client = new Kit.Client(proxy.port, 0);
          command = Kit.read("f" + Integer.toHexString(i), "v" + i, "page-read", WAIT_MS);
          outcome = outcome(client, command);
        } catch (IOException e) {
          outcome = "ended, and a new connection is refused";
        }
      }
      if (outcome == null) {
        answered.incrementAndGet();
        log.add("usual client sent u%d, answered after %.1f ms", i, Kit.now() - sentAt);
        continue;
      }
      lost.incrementAndGet();
      log.add("NOT ANSWERED u%d, sent at %.1f: %s", i, sentAt, outcome);
      if (!proxy.isAlive()) {
        return;
      }
      client.close();
      client = new Kit.Client(proxy.port, 0);
    }
  }

  /** Null if the request is answered in time. */
  private static String outcome(Kit.Client client, byte[] command) {
    try {
      client.send(command);
      return client.answer(WAIT_MS + LATE_MS) == null ? "ended" : null;
    } catch (SocketTimeoutException e) {
      return "no answer within its time and half a second";
    } catch (IOException e) {
      return "ended";
    }
  }

  private void askAtOnce(int port, int number) throws IOException {
    ByteArrayOutputStream commands = new ByteArrayOutputStream();
    for (int i = 0; i < COMMANDS; i++) {
      commands.write(Kit.read(Integer.toHexString(number * 1000 + i), "s" + number + "x" + i, "search-read", 2500));
    }
    try (Kit.Client client = new Kit.Client(port, 0)) {
      log.add("client %d sends %d commands", number, COMMANDS);
      client.send(commands.toByteArray());
      if (trouble) {
        client.readSlowly(PIECE_BYTES, PIECE_MS);
      }
      for (int i = 0; i < COMMANDS && !trouble; i++) {
        if (client.answer(10_000) == null) {
          lost.incrementAndGet();
          log.add("LOST: the connection of client %d ended", number);
          return;
        }
        slowAnswered.incrementAndGet();
        log.add("client %d: command s%dx%d is answered", number, number, i);
      }
    }
  }
}

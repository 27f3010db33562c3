import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads of keys that no cache holds, and some writes, so that the origin answers. With the disruption one
 * answer in eight of the origin is followed by a second copy some milliseconds later, if nothing else waits
 * on the connection then.
 */
final class SecondAnswer {

  private static final int CLIENTS = 48;
  private static final double REQUESTS_PER_SECOND = 250;
  private static final double RUN_MS = 30_000;
  private static final int ONE_IN = 8;
  private static final double MIN_LATE_MS = 4; // "a second answer may come some milliseconds late"
  private static final double MAX_LATE_MS = 10;
  private static final double WORK_MS = 5;

  private final boolean trouble;
  private final Kit.Log log;
  private final AtomicInteger answers = new AtomicInteger(); // of the origin
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private volatile boolean over;

  private SecondAnswer(boolean trouble, Kit.Log log) {
    this.trouble = trouble;
    this.log = log;
  }

  /** Runs the case; returns true if the rule held. */
  static boolean run(Path repository, boolean trouble, Kit.Log log) throws Exception {
    return new SecondAnswer(trouble, log).run(repository);
  }

  private boolean run(Path repository) throws Exception {
    Kit.Server first = Kit.cache(key -> null);
    Kit.Server second = Kit.cache(key -> null);
    Kit.Server origin = new Kit.Server(0, this::serveOrigin);
    String list = Kit.list(List.of(Kit.host("c1", first.address(), "m2"),
        Kit.host("c2", second.address(), "m2"), Kit.host("origin", origin.address(), "origin")));
    Kit.Server discovery = Kit.discovery(list);
    try (Kit.Proxy proxy = new Kit.Proxy(repository, list, discovery.address(),
        Kit.settings(Kit.docsLanes()), 192)) {
      log.add("the proxy is ready, process %d", proxy.pid());
      Thread[] clients = new Thread[CLIENTS];
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        clients[i] = Kit.thread("client", () -> ask(proxy.port, number));
      }
      Kit.sleep(RUN_MS);
      over = true;
      for (Thread client : clients) {
        client.join(3000);
      }
      log.add("counters: %s", proxy.counters());
    }
    log.add("origin answered %d, second copies %d; clients were served %d, refused or failed %d, FOREIGN %d",
        answers.get(), copies.get(), served.get(), notServed.get(), foreign.get());
    if (served.get() < 100) {
      throw new Kit.CannotRun("too few requests were served");
    }
    return foreign.get() == 0;
  }

  /** What the origin makes for one request: it names the id, so that no other request has the same. */
  private static String made(String id) {
    return "made-for-" + id;
  }

  private void ask(int port, int number) throws IOException {
    Random random = new Random(number);
    try (Kit.Client client = new Kit.Client(port, 0)) {
      for (int i = 0; !over; i++) {
        Kit.sleep(random.nextDouble() * 2 * 1000 * CLIENTS / REQUESTS_PER_SECOND);
        String id = "q" + number + "x" + i;
        String key = Integer.toHexString(number * 100_000 + i);
        boolean write = i % 20 == 19;
        client.send(write ? Kit.write(key, id, "publish-version", 2500, null, Kit.bytes("text"))
            : Kit.read(key, id, "page-read", 1200));
        Kit.Client.Answer answer = client.answer(4000);
        String got = answer.value() != null ? new String(answer.value(), StandardCharsets.ISO_8859_1)
            : answer.line().startsWith("HD ") ? answer.line().replaceAll(".* c", "") : null;
        log.add("client sent %s %s of key %s, answered '%s'%s", write ? "write" : "read", id, key, answer.line(),
            answer.value() == null ? "" : ", value '" + got + "'");
        if (got == null) {
          notServed.incrementAndGet();
        } else if (got.equals(made(id))) {
          served.incrementAndGet();
        } else {
          foreign.incrementAndGet();
          log.add("FOREIGN: the %s %s of key %s is answered '%s', value '%s'", write ? "write" : "read", id,
              key, answer.line(), got);
        }
      }
    }
  }

  private void serveOrigin(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    AtomicInteger requests = new AtomicInteger();
    Random random = new Random(answers.get());
    while (awaitByte(in)) {
      int number = requests.incrementAndGet(); // before the head is read
      Kit.Head head = Kit.Head.read(in);
      Kit.exactly(in, head.length());
      Kit.sleep(WORK_MS);
      byte[] answer = Kit.httpAnswer(200, Kit.bytes(made(head.id())));
      out.write(answer);
      log.add("origin ran %s %s of key %s and answered", head.method(), head.id(), head.key());
      if (answers.incrementAndGet() % ONE_IN == 0 && trouble) {
        double late = MIN_LATE_MS + random.nextDouble() * (MAX_LATE_MS - MIN_LATE_MS);
        String id = head.id();
        Kit.thread("second copy", () -> {
          Kit.sleep(late);
          if (requests.get() == number && socket.getInputStream().available() == 0) {
            out.write(answer);
            copies.incrementAndGet();
            log.add("origin has sent a second copy of the answer to %s, %.1f ms late", id, late);
          }
        });
      }
    }
  }

  /** Waits until the first byte of the next request has come; false at the end of the connection. */
  private static boolean awaitByte(InputStream in) throws IOException {
    in.mark(1);
    boolean hasByte = in.read() >= 0;
    in.reset();
    return hasByte;
  }
}

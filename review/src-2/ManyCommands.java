import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send hundreds of commands at once. What they send is read and kept without a limit, the heap of
 * the proxy is used up, and it answers no other client any more.
 */
final class ManyCommands {

  private static final int BAD_CLIENTS = 100;
  private static final int COMMANDS = 300;
  private static final int VALUE_BYTES = 4 * 1024;
  private static final int USUAL_CLIENTS = 10;
  private static final int ORIGIN_MS = 240;
  private static final int CACHE_MS = 20;
  private static final int WAIT_MS = 1200;
  private static final int LATE_MS = 500; // after its time a request without an answer is lost
  private static final int BEFORE_MS = 3000;
  private static final int AFTER_MS = 12_000;

  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answersToBad = new AtomicInteger();
  private volatile boolean ended;

  public static void main(String[] args) {
    Rig.main(args, (rig, trouble) -> new ManyCommands().run(rig, trouble));
  }

  private int run(Rig rig, boolean trouble) throws Exception {
    int origin = rig.origin(arrival -> {
      Thread.sleep(ORIGIN_MS);
      arrival.http(200, arrival.value == null ? "value" : "receipt");
    });
    List<String> hosts = new ArrayList<>();
    hosts.add(Rig.host("origin", origin, "origin", "Ready"));
    for (int i = 1; i <= 4; i++) {
      hosts.add(Rig.host("cache-" + i, rig.cacheNode(arrival -> {
        Thread.sleep(CACHE_MS);
        arrival.value("value");
      }), "m2", "Ready"));
    }
    int listen = Rig.freePort();
    String known = Rig.list(41, true, hosts);
    Rig.Discovery discovery = rig.new Discovery(known);
    Process proxy = rig.startProxy("n1",
        rig.config("n1", listen, discovery.port, known, Rig.settings()), listen, discovery.port);
    rig.awaitReady(listen);
    List<Thread> usual = new ArrayList<>();
    for (int i = 1; i <= USUAL_CLIENTS; i++) {
      String name = "u" + i;
      usual.add(Rig.daemon(() -> readOn(rig, listen, name)));
    }
    Thread.sleep(BEFORE_MS);
    rig.note("usual clients have " + answered + " answers to " + whole + " requests");
    if (trouble) {
      rig.note(BAD_CLIENTS + " clients send " + COMMANDS + " writes each");
      for (int i = 1; i <= BAD_CLIENTS; i++) {
        String name = "b" + i;
        Rig.daemon(() -> sendMany(rig, listen, name));
      }
    }
    Thread.sleep(AFTER_MS);
    ended = true;
    for (Thread client : usual) {
      client.join();
    }
    boolean hangs = !answersMn(listen);
    rig.say("of " + whole + " requests of usual clients whose last byte was sent " + answered + " were answered and "
        + lost + " lost; the others have " + answersToBad + " answers; in the end the proxy "
        + (!proxy.isAlive() ? "has ended" : hangs ? "does not answer mn" : "answers mn"));
    return answered.get() == 0 ? Rig.NOT_RUN : lost.get() > 0 || hangs ? Rig.BROKEN : Rig.HELD;
  }

  private static boolean answersMn(int port) {
    try (Rig.Client client = new Rig.Client(port)) {
      client.send("mn\r\n");
      return client.line(5000).equals("MN");
    } catch (IOException e) {
      return false;
    }
  }

  /** Reads of a usual client, one after the other on a connection. */
  private void readOn(Rig rig, int port, String name) throws InterruptedException {
    for (int i = 0; !ended;) {
      try (Rig.Client client = new Rig.Client(port)) {
        for (boolean first = true; !ended; first = false) {
          String id = name + "x" + i++;
          String key = Integer.toHexString(id.hashCode());
          client.send("mg " + key + " v O" + id + " Pc=page-read,t=acme,d=" + WAIT_MS + "\r\n");
          double sentAt = rig.now();
          if (first) { // the front takes a proxy for used once it has answered on a connection
            client.answer(WAIT_MS + LATE_MS);
          } else {
            whole.incrementAndGet();
            await(rig, client, id, sentAt);
          }
          Thread.sleep(20);
        }
      } catch (IOException e) {
        rig.note("client " + name + ": " + e.getMessage());
        Thread.sleep(200);
      }
    }
  }

  private void await(Rig rig, Rig.Client client, String id, double sentAt) throws IOException {
    try {
      String answer = client.answer(WAIT_MS + LATE_MS);
      answered.incrementAndGet();
      rig.note("client: " + id + " gets " + answer);
    } catch (IOException e) {
      lost.incrementAndGet();
      rig.note("client: " + id + " is LOST, " + Math.round(rig.now() - sentAt) + " ms after it was sent whole: "
          + e.getMessage());
      throw e;
    }
  }

  /** Sends many commands at once at full speed, and reads what it is sent. */
  private void sendMany(Rig rig, int port, String name) throws IOException {
    String value = "x".repeat(VALUE_BYTES);
    try (Rig.Client client = new Rig.Client(port)) {
      Rig.daemon(() -> {
        try {
          while (true) {
            client.answer(60_000);
            answersToBad.incrementAndGet();
          }
        } catch (IOException e) {
          rig.note("client " + name + ": " + e.getMessage());
        }
      });
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < COMMANDS; i++) {
        commands.append("ms ").append(Integer.toHexString((name + i).hashCode())).append(' ').append(VALUE_BYTES)
            .append(" O").append(name).append('x').append(i).append(" Pc=publish-version,t=acme,d=5000\r\n")
            .append(value).append("\r\n");
      }
      client.send(commands.toString());
      rig.note("client " + name + ": has sent " + COMMANDS + " writes");
      while (!ended) {
        sleep();
      }
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart while clients read a value over some seconds and send further requests on the connection,
 * which is still open for them. The proxy ends long before a SIGKILL may come, and the value is cut off.
 */
final class RestartCut {

  private static final int CLIENTS = 5;
  private static final int VALUE_BYTES = 1 << 20;
  private static final int PIECE_BYTES = 64 * 1024;
  private static final int PIECE_MS = 150; // 2.4 s for the value
  private static final int BEFORE_TERM_MS = 300;
  private static final int SEND_EVERY_MS = 100;
  private static final int KILL_AFTER_MS = 3700; // the longest deadline, at most 3 s, and 0.7 s

  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private volatile double termAt = Double.MAX_VALUE;
  private volatile boolean restartBegun;

  public static void main(String[] args) {
    Rig.main(args, (rig, trouble) -> new RestartCut().run(rig, trouble));
  }

  private int run(Rig rig, boolean trouble) throws Exception {
    String value = "x".repeat(VALUE_BYTES);
    int origin = rig.origin(arrival -> arrival.http(200, "value"));
    int cache = rig.cacheNode(arrival -> arrival.value(arrival.key.startsWith("b") ? value : "small"));
    int listen = Rig.freePort();
    String known = Rig.list(41, true,
        List.of(Rig.host("cache-1", cache, "m2", "Ready"), Rig.host("origin", origin, "origin", "Ready")));
    Rig.Discovery discovery = rig.new Discovery(known);
    Process proxy = rig.startProxy("n1",
        rig.config("n1", listen, discovery.port, known, Rig.settings()), listen, discovery.port);
    rig.awaitReady(listen);
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= CLIENTS; i++) {
      String name = "c" + i;
      clients.add(Rig.daemon(() -> read(rig, listen, name)));
    }
    Thread.sleep(BEFORE_TERM_MS);
    termAt = rig.now();
    restartBegun = true;
    if (trouble) {
      rig.signal("TERM", proxy);
      if (proxy.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS)) {
        rig.say("the proxy ended " + Math.round(rig.now() - termAt) + " ms after SIGTERM; SIGKILL would come after "
            + KILL_AFTER_MS + " ms");
      } else {
        rig.note("SIGKILL");
        proxy.destroyForcibly();
      }
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.say(cut + " of " + (whole.get() + cut.get()) + " values were cut off");
    return whole.get() + cut.get() < CLIENTS ? Rig.NOT_RUN : cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  /** Reads a value in pieces; once the restart has begun, sends small reads behind it while it can. */
  private void read(Rig rig, int port, String name) throws Exception {
    try (Rig.Client client = new Rig.Client(port)) {
      client.socket.setReceiveBufferSize(PIECE_BYTES);
      client.send("mg a1 v O" + name + "q0 Pc=page-read,t=acme,d=1200\r\n");
      client.answer(1700);
      client.send("mg b1 v O" + name + "q1 Pc=search-read,t=acme,d=2500\r\n");
      rig.note("client " + name + ": asks for a value of " + VALUE_BYTES + " bytes");
      String head = client.line(3000);
      if (!head.startsWith("VA " + VALUE_BYTES + " ")) {
        rig.note("client " + name + ": gets " + head);
        return;
      }
      Thread sender = Rig.daemon(() -> sendOn(rig, client, name));
      int got = 0;
      String end = "the connection was closed";
      try {
        InputStream in = client.socket.getInputStream();
        byte[] piece = new byte[PIECE_BYTES];
        client.socket.setSoTimeout(5000);
        for (int count = 1; got < VALUE_BYTES && count > 0; Thread.sleep(PIECE_MS)) {
          count = in.readNBytes(piece, 0, Math.min(PIECE_BYTES, VALUE_BYTES - got));
          got += count;
        }
      } catch (IOException e) {
        end = e.getMessage();
      }
      sender.interrupt();
      boolean isWhole = got == VALUE_BYTES;
      (isWhole ? whole : cut).incrementAndGet();
      rig.note("client " + name + ": " + (isWhole ? "has the value whole" : "the value is CUT OFF after " + got
          + " bytes: " + end) + ", " + Math.round(rig.now() - termAt) + " ms after SIGTERM");
    }
  }

  private void sendOn(Rig rig, Rig.Client client, String name) throws InterruptedException {
    for (int i = 2; true; Thread.sleep(SEND_EVERY_MS)) {
      if (restartBegun) {
        try {
          client.send("mg a" + i + " v O" + name + "q" + i++ + " Pc=page-read,t=acme,d=1200\r\n");
          rig.note("client " + name + ": sends q" + (i - 1));
        } catch (SocketException e) {
          rig.note("client " + name + ": can send no more: " + e.getMessage());
          return;
        } catch (IOException e) {
          return;
        }
      }
    }
  }
}

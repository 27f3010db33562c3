import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients write and read long values at the same time, more than memory holds. The heap of the proxy is
 * used up: requests that have come whole are never answered, reads are served with values that were not made
 * for them, and sometimes the proxy does not answer at all any more.
 */
final class LongValues {

  private static final int WRITERS = 60;
  private static final int READERS = 20;
  private static final int ROUNDS = 6;
  private static final int LONG_WRITE_BYTES = 4 * 1024 * 1024;
  private static final int LONG_READ_BYTES = 300_000;
  private static final int USUAL_BYTES = 4 * 1024;
  private static final int PIECES = 64;
  private static final int WRITE_MS = 1000; // for one value
  private static final int ORIGIN_MS = 240;
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int LATE_MS = 550; // 0.5 s, and 50 ms as for every limit on sockets: after its time a request without an answer is lost

  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private volatile boolean writersHaveEnded;

  public static void main(String[] args) {
    Rig.main(args, (rig, trouble) -> new LongValues().run(rig, trouble));
  }

  private int run(Rig rig, boolean trouble) throws Exception {
    int readBytes = trouble ? LONG_READ_BYTES : USUAL_BYTES;
    int writeBytes = trouble ? LONG_WRITE_BYTES : USUAL_BYTES;
    int origin = rig.origin(arrival -> {
      Thread.sleep(ORIGIN_MS);
      rig.note("origin: " + arrival.id + " is run" + (arrival.value == null ? "" : ", a write"));
      if (arrival.value != null) {
        arrival.http(200, "receipt" + arrival.id);
        return;
      }
      String value = value(arrival.id, readBytes);
      arrival.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int from = 0; from < value.length(); from += CHUNK_BYTES) {
        String part = value.substring(from, Math.min(value.length(), from + CHUNK_BYTES));
        arrival.answer(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
        Thread.sleep(2);
      }
      arrival.answer("0\r\n\r\n");
    });
    List<String> hosts = new ArrayList<>();
    hosts.add(Rig.host("origin", origin, "origin", "Ready"));
    for (int i = 1; i <= 4; i++) {
      int cache = rig.cacheNode(arrival -> {
        if (arrival.key.startsWith("f")) {
          arrival.value(value(arrival.id, USUAL_BYTES));
        } else {
          arrival.answer("EN O" + arrival.id + "\r\n");
        }
      });
      hosts.add(Rig.host("cache-" + i, cache, "m2", "Ready"));
    }
    int listen = Rig.freePort();
    String known = Rig.list(41, true, hosts);
    Rig.Discovery discovery = rig.new Discovery(known);
    Process proxy = rig.startProxy("n1",
        rig.config("n1", listen, discovery.port, known, Rig.settings()), listen, discovery.port);
    rig.awaitReady(listen);
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= READERS; i++) {
      String name = "g" + i;
      clients.add(Rig.daemon(() -> read(rig, listen, name, readBytes)));
    }
    List<Thread> writers = new ArrayList<>();
    for (int i = 1; i <= WRITERS; i++) {
      String name = "w" + i;
      writers.add(Rig.daemon(() -> write(rig, listen, name, writeBytes)));
    }
    for (Thread writer : writers) {
      writer.join();
    }
    writersHaveEnded = true;
    for (Thread client : clients) {
      client.join();
    }
    Thread.sleep(2000);
    boolean hangs = !answers(listen);
    rig.say("of " + whole + " requests whose last byte was sent " + answered + " were answered, " + closed
        + " were lost as their connection was closed, " + unanswered + " got no answer in their time and "
        + LATE_MS + " ms, " + wrong + " were served with a value that was not made for them; 2 s after the last "
        + "client the proxy " + (!proxy.isAlive() ? "has ended" : hangs ? "does not answer mn" : "answers mn"));
    boolean broken = closed.get() + unanswered.get() + wrong.get() > 0 || hangs;
    return whole.get() == 0 ? Rig.NOT_RUN : broken ? Rig.BROKEN : Rig.HELD;
  }

  /** The value that is made for a request. */
  private static String value(String id, int bytes) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; text.length() < bytes; i++) {
      text.append(id).append(':').append(i).append(';');
    }
    return text.substring(0, bytes);
  }

  private static boolean answers(int port) {
    try (Rig.Client client = new Rig.Client(port)) {
      client.send("mn\r\n");
      return client.line(5000).equals("MN");
    } catch (IOException e) {
      return false;
    }
  }

  /** A sender of one request. */
  private interface Sender {
    void send() throws Exception;
  }

  /** Sends the first request of a connection, which is not judged, and awaits its answer. */
  private static void first(Rig.Client client, String id) throws IOException {
    client.send("mg f" + key(id) + " v O" + id + " Pc=page-read,t=acme,d=1200\r\n");
    client.answer(1200 + LATE_MS);
  }

  private static String key(String id) {
    return Integer.toHexString(id.hashCode() & 0xffffff);
  }

  /** Sends a request, awaits its answer and judges it; throws if the connection is of no further use. */
  private void request(Rig rig, Rig.Client client, String id, int waitMs, String value, Sender sender)
      throws Exception {
    sender.send(); // a request that could not be sent whole is not judged
    double sentAt = rig.now();
    whole.incrementAndGet();
    String answer;
    try {
      answer = client.answer(waitMs + LATE_MS);
    } catch (IOException e) {
      boolean late = e instanceof java.net.SocketTimeoutException;
      (late ? unanswered : closed).incrementAndGet();
      rig.note("client: " + id + " is LOST, " + Math.round(rig.now() - sentAt)
          + " ms after it was sent whole: " + e.getMessage());
      throw e;
    }
    if (answer.startsWith("VA ") && !answer.equals("VA " + value.length() + " O" + id + " " + value)) {
      wrong.incrementAndGet();
      rig.note("client: " + id + " gets a WRONG VALUE of " + answer.split(" ")[1] + " bytes, " + value.length()
          + " were made for it; it holds the ids " + ids(answer.split(" ", 4)[3]));
      throw new IOException("wrong value");
    }
    answered.incrementAndGet();
    rig.note("client: " + id + " gets " + answer.substring(0, Math.min(answer.length(), 30)));
  }

  /** The ids of the requests for which the parts of a value were made. */
  private static List<String> ids(String value) {
    return Arrays.stream(value.split(";")).filter(part -> part.matches("[a-z]\\d+x\\d+:\\d+"))
        .map(part -> part.substring(0, part.indexOf(':'))).distinct().toList();
  }

  private void read(Rig rig, int port, String name, int bytes) throws InterruptedException {
    for (int i = 0; !writersHaveEnded;) {
      try (Rig.Client client = new Rig.Client(port)) {
        first(client, name + "x" + i++);
        for (; !writersHaveEnded; i++) {
          String id = name + "x" + i;
          request(rig, client, id, 2500, value(id, bytes),
              () -> client.send("mg 0" + key(id) + " v O" + id + " Pc=search-read,t=acme,d=2500\r\n"));
          Thread.sleep(10);
        }
      } catch (InterruptedException e) {
        throw e;
      } catch (Exception e) {
        i++;
        Thread.sleep(200);
      }
    }
  }

  /** Writes, each behind a read on the same connection. */
  private void write(Rig rig, int port, String name, int bytes) throws InterruptedException {
    byte[] piece = new byte[bytes / PIECES];
    Arrays.fill(piece, (byte) 'x');
    for (int i = 0; i < ROUNDS; i++) {
      String id = name + "x" + (2 * i + 1);
      try (Rig.Client client = new Rig.Client(port)) {
        first(client, name + "x" + 2 * i);
        request(rig, client, id, 5000, "", () -> {
          client.send("ms 0" + key(id) + " " + bytes + " O" + id + " Pc=publish-version,t=acme,d=5000\r\n");
          for (int j = 0; j < PIECES; j++) {
            client.socket.getOutputStream().write(piece);
            Thread.sleep(WRITE_MS / PIECES);
          }
          client.send("\r\n");
        });
      } catch (InterruptedException e) {
        throw e;
      } catch (Exception e) {
        rig.note("client: " + name + ": " + e.getMessage());
      }
    }
  }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A keyed write whose connection to the origin is reset after it has run is refused with a time to come back
 * that lies behind the time for which the origin drops repeats. A client that does as it is told runs it twice.
 */
final class KeyedRefusal {

  private static final int WRITES = 5;
  private static final double WINDOW_MS = 2000;
  private static final double RESETS_UNTIL_MS = 1000; // after the first write
  private static final int MAX_RETRIES = 2;
  private static final int WORK_MS = 20;

  /** When each key was run, in ms. */
  private final Map<String, List<Double>> runs = new TreeMap<>();
  private volatile double firstWriteAt = Double.MAX_VALUE;

  public static void main(String[] args) {
    Rig.main(args, (rig, trouble) -> new KeyedRefusal().run(rig, trouble));
  }

  private int run(Rig rig, boolean trouble) throws Exception {
    int origin = rig.origin(arrival -> {
      firstWriteAt = Math.min(firstWriteAt, arrival.at);
      Thread.sleep(WORK_MS);
      String key = arrival.parameter("k");
      boolean dropped = !runOnce(key, rig.now());
      boolean reset = trouble && rig.now() < firstWriteAt + RESETS_UNTIL_MS;
      rig.note("origin: PUT id " + arrival.id + " k=" + key + (dropped ? " is a repeat and dropped" : " is RUN")
          + (reset ? ", its connection is reset" : ", answered 200"));
      if (reset) {
        arrival.reset();
      } else {
        arrival.http(200, "receipt-" + key);
      }
    });
    int cache = rig.cacheNode(arrival -> arrival.answer("EN O" + arrival.id + "\r\n"));
    int listen = Rig.freePort();
    String known = Rig.list(41, true,
        List.of(Rig.host("cache-1", cache, "m2", "Ready"), Rig.host("origin", origin, "origin", "Ready")));
    Rig.Discovery discovery = rig.new Discovery(known);
    rig.startProxy("n1", rig.config("n1", listen, discovery.port, known, Rig.settings("automatic", 1000)),
        listen, discovery.port, 0, rig.temporary.resolve("n1"));
    rig.awaitReady(listen);

    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= WRITES; i++) {
      String key = "key" + i;
      clients.add(Rig.daemon(() -> write(rig, listen, key)));
      Thread.sleep(50);
    }
    for (Thread client : clients) {
      client.join();
    }
    int twice = 0;
    for (Map.Entry<String, List<Double>> entry : runs.entrySet()) {
      if (entry.getValue().size() > 1) {
        twice++;
        rig.say("k=" + entry.getKey() + " was run " + entry.getValue().size() + " times, "
            + Math.round(entry.getValue().get(1) - entry.getValue().get(0)) + " ms apart");
      }
    }
    rig.say(twice + " of " + runs.size() + " keyed writes were run twice");
    return runs.size() < WRITES ? Rig.NOT_RUN : twice > 0 ? Rig.BROKEN : Rig.HELD;
  }

  /** Runs a write unless it is a repeat within the window; returns whether it was run. */
  private synchronized boolean runOnce(String key, double now) {
    List<Double> times = runs.computeIfAbsent(key, k -> new ArrayList<>());
    if (!times.isEmpty() && now - times.get(times.size() - 1) < WINDOW_MS) {
      return false;
    }
    times.add(now);
    return true;
  }

  /** One write of a client, which comes again only after a refusal, and when the refusal says so. */
  private static void write(Rig rig, int port, String key) throws Exception {
    for (int attempt = 0; attempt <= MAX_RETRIES; attempt++) {
      String id = key + "a" + attempt;
      String answer;
      try (Rig.Client client = new Rig.Client(port)) {
        String command = "ms 7f3a9c21e0b4d6" + key.substring(3) + " 5 O" + id + " Pc=feedback-post,t=acme,d=1800,k="
            + key;
        rig.note("client: " + command);
        client.send(command + "\r\nhello\r\n");
        answer = client.answer(2500);
      } catch (IOException e) {
        answer = "no answer: " + e.getMessage();
      }
      rig.note("client: id " + id + " gets " + answer);
      if (!answer.startsWith("SERVER_ERROR busy")) {
        return;
      }
      String[] words = answer.split(" ");
      Thread.sleep(words.length > 2 ? Long.parseLong(words[2]) : 50);
    }
  }
}

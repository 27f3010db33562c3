import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * New configurations add and drop a class that no client uses, while clients publish: a write of a class that
 * must never run twice. The origin fails a part of the writes after it has run them, with and without the
 * disruption. A write that has run must not run again, nor be refused.
 */
final class ReloadTwice {
  private static final int CONNECTIONS = 16;
  private static final int BURST = 160; // commands at once, ten a connection
  private static final int BURST_INTERVAL_MS = 500; // 320 requests a second
  private static final int RELOAD_INTERVAL_MS = 1000;
  private static final double DAY_MS = 85_000;
  private static final int FAILING_MS = 26_000; // of each 30 s
  private static final int FAILING_PERIOD_MS = 30_000;

  private ReloadTwice() {}

  public static void main(String[] args) {
    Stage.run(args[0], ReloadTwice::holds);
  }

  private static boolean holds(Stage stage) throws Exception {
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    Set<String> refusedAfterRun = ConcurrentHashMap.newKeySet();
    List<Stage.Entry> entries = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      entries.add(new Stage.Entry("cache-" + i, stage.cache("cache-" + i,
          (wire, work) -> wire.write("VA 5 O" + work.id() + "\r\nhello\r\n")), "m2"));
    }
    entries.add(new Stage.Entry("origin", stage.origin((wire, work) -> {
      int count = runs.merge(work.id(), 1, Integer::sum);
      boolean fails = stage.now() % FAILING_PERIOD_MS < FAILING_MS && work.id().hashCode() % 2 == 0;
      stage.note("origin ran " + work.id() + (fails ? ", answers 500" : "") + (count > 1 ? " TWICE" : ""));
      Thread.sleep(5);
      Stage.http(wire, fails ? 500 : 200, "r" + work.id());
    }), "origin"));
    Stage.Lane read = new Stage.Lane("page-read", "safe", "all", 0, 500, 1200);
    Stage.Lane search = new Stage.Lane("search-read", "safe", "all", 0, 800, 2500);
    Stage.Lane publish = new Stage.Lane("publish-version", "unsafe", "all", 0, 1200, 5000);
    int port = Stage.freePort();
    int discovery = stage.discovery(entries);
    String without = stage.config(port, discovery, entries, List.of(read, publish));
    String with = stage.config(port, discovery, entries, List.of(read, search, publish));
    Stage.Proxy proxy = stage.start("n1", port, without);
    List<Stage.Wire> wires = new ArrayList<>();
    List<Queue<String>> open = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      Stage.Wire wire = Stage.Wire.connect(port);
      Queue<String> sent = new ConcurrentLinkedQueue<>();
      wires.add(wire);
      open.add(sent);
      Stage.thread("answers", () -> {
        for (String line = wire.line(); line != null; line = wire.line()) {
          String id = sent.poll();
          stage.note("client got for " + id + ": " + line);
          if (line.startsWith("SERVER_ERROR busy") && runs.containsKey(id)) {
            refusedAfterRun.add(id);
          }
        }
      });
    }
    Random random = new Random(55);
    int reloads = 0;
    int commands = 0;
    double end = stage.now() + DAY_MS;
    double nextReload = stage.now() + 2000;
    for (double next = stage.now(); next < end; next += BURST_INTERVAL_MS) {
      Thread.sleep((long) Math.max(0, next - stage.now()));
      if (Stage.TROUBLE && next >= nextReload) {
        nextReload += RELOAD_INTERVAL_MS;
        stage.write(proxy.config, reloads++ % 2 == 0 ? with : without);
        stage.note("SIGHUP " + reloads);
        proxy.signal("HUP");
        // the clients know nothing of the signal: their commands come at any time after it
        double at = stage.now() + random.nextDouble() * 12;
        while (stage.now() < at) {
          Thread.onSpinWait();
        }
      }
      for (int i = 0; i < CONNECTIONS; i++) {
        StringBuilder text = new StringBuilder();
        for (int j = 0; j < BURST / CONNECTIONS; j++) {
          String id = String.format("p%015d", commands++);
          open.get(i).add(id);
          text.append("ms " + String.format("%016x", commands) + " 5 O" + id
              + " Pc=publish-version,t=sabarmati-tools,d=5000\r\nhello\r\n");
        }
        wires.get(i).write(text.toString());
      }
    }
    Thread.sleep(1500);
    if (!proxy.process.isAlive() || runs.size() < commands * 0.9) {
      throw new IllegalStateException("only " + runs.size() + " of " + commands + " writes reached the origin");
    }
    Set<String> twice = new TreeSet<>();
    runs.forEach((id, count) -> {
      if (count > 1) {
        twice.add(id);
      }
    });
    refusedAfterRun.retainAll(runs.keySet());
    stage.note("ran twice: " + twice);
    stage.note("refused after they had run: " + refusedAfterRun);
    stage.say(commands + " writes, " + reloads + " new configurations; ran twice: " + twice.size()
        + "; refused after they had run: " + refusedAfterRun.size());
    return twice.isEmpty() && refusedAfterRun.isEmpty();
  }
}

package beampoint.benchmark;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Measures the cost of requests in one {@code serve} process on loopback with scripted peers: by request
 * rate, by value size, by number of cache nodes, the connections it makes with two limits on sockets, and the
 * load of the peak.
 * Argument: {@code rates}, {@code values}, {@code caches}, {@code connections} or {@code peak}.
 */
public final class RequestCosts {

  private static final int ZONES = 2;
  private static final int SOCKETS = 2_048;
  private static final int DEFAULT_SOCKETS = 1_024;
  private static final int PROXIES = 2_300;
  private static final int CLIENTS = 16;
  private static final int MANY_CLIENTS = 64;
  private static final long WARM_UP_MS = 8_000;
  private static final long WINDOW_MS = 6_000;
  private static final long MAX_START_MS = 30_000;
  private static final int SMALL_VALUE_BYTES = 100;
  private static final int PEAK_VALUE_BYTES = 420_000; // 3.8 Gbit/s in 1,130 requests a second

  /** One measured load; with a rate of 0 the clients send as fast as they can. */
  private record Load(int caches, double price, double rate, int valueBytes, int clients,
      int sockets) {

    Load(int caches, double price, double rate, int valueBytes, int clients) {
      this(caches, price, rate, valueBytes, clients, SOCKETS);
    }
  }

  private RequestCosts() {}

  public static void main(String[] args) throws Exception {
    switch (args[0]) {
      case "rates" -> rates();
      case "values" -> values();
      case "caches" -> caches();
      case "connections" -> connections();
      case "peak" -> peak();
      default -> throw new IllegalArgumentException("unknown study: " + args[0]);
    }
    System.exit(0);
  }

  private static void rates() throws Exception {
    List<LinearFit.Point> points = new ArrayList<>();
    for (double rate : new double[] {250, 500, 1_130, 2_000, 4_000}) {
      points.add(new LinearFit.Point(rate, run(new Load(14, 0, rate, SMALL_VALUE_BYTES, CLIENTS))));
    }
    System.out.println(LinearFit.of(points).text("processor ms a second by requests a second", "ms"));
    run(new Load(14, 0, 0, SMALL_VALUE_BYTES, MANY_CLIENTS));
    run(new Load(610, 0, 0, SMALL_VALUE_BYTES, MANY_CLIENTS));
    run(new Load(610, 0.03, 0, SMALL_VALUE_BYTES, MANY_CLIENTS));
  }

  private static void values() throws Exception {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int bytes : new int[] {100, 16_384, 65_536, 131_072, PEAK_VALUE_BYTES, 1_048_576}) {
      double rate = 200;
      double cpu = run(new Load(14, 0, rate, bytes, CLIENTS));
      points.add(new LinearFit.Point(bytes / 1024.0, cpu / rate * 1_000));
    }
    System.out.println(LinearFit.of(points).text("processor us a request by KB of its value", "us"));
    run(new Load(14, 0, 0, 65_536, CLIENTS));
    run(new Load(14, 0, 0, PEAK_VALUE_BYTES, CLIENTS));
  }

  private static void caches() throws Exception {
    for (double price : new double[] {0, 0.03}) {
      List<LinearFit.Point> points = new ArrayList<>();
      for (int caches : new int[] {14, 60, 200, 610}) {
        double cpu = run(new Load(caches, price, Workload.REQUESTS_PER_SECOND, SMALL_VALUE_BYTES, CLIENTS));
        points.add(new LinearFit.Point(caches, cpu));
      }
      String what = "processor ms a second by cache nodes, price " + price;
      System.out.println(LinearFit.of(points).text(what, "ms"));
    }
  }

  private static void connections() throws Exception {
    for (int sockets : new int[] {SOCKETS, DEFAULT_SOCKETS}) {
      for (double rate : new double[] {100, 300, 565, 1_130}) {
        run(new Load(610, 0, rate, SMALL_VALUE_BYTES, CLIENTS, sockets));
      }
    }
  }

  /** All cache nodes, values of the mean size at the peak, and rates up to 1.5 times that of the peak. */
  private static void peak() throws Exception {
    List<LinearFit.Point> points = new ArrayList<>();
    for (double rate : new double[] {280, 565, 1_130, 1_700}) {
      points.add(new LinearFit.Point(rate, run(new Load(610, 0, rate, PEAK_VALUE_BYTES, CLIENTS))));
    }
    System.out.println(LinearFit.of(points).text("processor ms a second by requests of the peak", "ms"));
  }

  /** Runs a load against a new process; returns its CPU time in ms per second. */
  private static double run(Load load) throws Exception {
    Path directory = Files.createTempDirectory("request-costs");
    try (ScriptedPeers peers = new ScriptedPeers(load.caches, ZONES, load.valueBytes);
        ServeProcess proxy = ServeProcess.start(directory, "n0", ServeConfig.of(
            peers.list(load.caches, ZONES), peers.discoveryAddress(), PROXIES, ZONES, load.sockets,
            load.price))) {
      proxy.awaitReady(MAX_START_MS);
      return measure(load, proxy);
    } finally {
      try (Stream<Path> files = Files.list(directory)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(directory);
    }
  }

  private static double measure(Load load, ServeProcess proxy) throws Exception {
    LoadClients clients = new LoadClients(proxy);
    List<Thread> threads = clients.start(load.clients, load.rate);
    Thread.sleep(WARM_UP_MS);
    clients.times().reset();
    Map<String, Long> before = proxy.stats();
    long servedBefore = clients.served();
    long refusedBefore = clients.refused();
    double cpuBefore = ProcessAccount.cpuMs(proxy.pid());
    long begin = System.nanoTime();
    Thread.sleep(WINDOW_MS);
    double seconds = (System.nanoTime() - begin) / 1e9;
    double cpu = (ProcessAccount.cpuMs(proxy.pid()) - cpuBefore) / seconds;
    double served = (clients.served() - servedBefore) / seconds;
    double refused = (clients.refused() - refusedBefore) / seconds;
    ProcessAccount held = ProcessAccount.of(proxy.pid());
    Map<String, Long> after = proxy.stats();
    double connected = (after.get("upstream_connections") - before.get("upstream_connections")) / seconds;
    clients.stop();
    for (Thread thread : threads) {
      thread.join(WINDOW_MS);
    }
    System.out.printf(Locale.ROOT, "%d caches, price %s, %d sockets, %d bytes, offered %.0f: served %.0f"
        + " a second, refused %.0f, %.2f Gbit/s, processor %.0f ms a second, %.1f us a request, p50 %.2f"
        + " p99 %.2f ms,"
        + " resident %.1f MB, %d descriptors, %.1f connections made a second, load %s%n",
        load.caches, load.price, load.sockets, load.valueBytes, load.rate, served, refused,
        served * load.valueBytes * 8 / 1e9, cpu, 1_000 * cpu / Math.max(1, served + refused),
        clients.times().getValueAtPercentile(50) / 1e3, clients.times().getValueAtPercentile(99) / 1e3,
        held.residentKb() / 1024.0, held.descriptors(), connected, ProcessAccount.machineLoad());
    return cpu;
  }
}

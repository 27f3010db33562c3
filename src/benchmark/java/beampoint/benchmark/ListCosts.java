package beampoint.benchmark;

import beampoint.discovery.ListBenchmark;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Fits against the size of the host list: its bytes, the time to parse it, and a proxy's start with it. */
public final class ListCosts {

  private static final int[] ENTRIES = {14, 60, 200, 610};
  private static final int ZONES = 31;
  private static final int PROXIES = 2_300;
  private static final int SOCKETS = 2_048;
  private static final int STARTS = 9;
  private static final long MAX_START_MS = 30_000;

  private ListCosts() {}

  public static void main(String[] args) throws Exception {
    measureBytes();
    measureTime("readWhole");
    measureTime("readChangeOfOne");
    measureStarts();
    System.exit(0);
  }

  private static void measureBytes() {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int entries : ENTRIES) {
      int whole = ListBenchmark.line(entries, false).length;
      points.add(new LinearFit.Point(entries, whole));
      System.out.println("list of " + entries + ": " + whole + " bytes, a change of one "
          + ListBenchmark.line(entries, true).length);
    }
    System.out.println(LinearFit.of(points).text("bytes of a whole list", "bytes"));
  }

  private static void measureTime(String benchmark) throws RunnerException {
    Collection<RunResult> results = new Runner(new OptionsBuilder()
        .include(ListBenchmark.class.getName() + "." + benchmark + "$").verbosity(VerboseMode.SILENT).build())
        .run();
    List<LinearFit.Point> points = new ArrayList<>();
    for (RunResult result : results) {
      double size = Double.parseDouble(result.getParams().getParam("entries"));
      double time = result.getPrimaryResult().getScore();
      points.add(new LinearFit.Point(size, time));
      System.out.printf(Locale.ROOT, "%s of %.0f: %.1f us (+- %.1f)%n", benchmark, size, time,
          result.getPrimaryResult().getScoreError());
    }
    System.out.println(LinearFit.of(points).text(benchmark, "us"));
  }

  /** Medians over {@link #STARTS} starts of a proxy, each until it answers that it is ready. */
  private static void measureStarts() throws Exception {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int entries : ENTRIES) {
      List<Double> cpu = new ArrayList<>();
      List<Double> wall = new ArrayList<>();
      for (int i = 0; i < STARTS; i++) {
        measureStart(entries, cpu, wall);
      }
      Collections.sort(cpu);
      Collections.sort(wall);
      points.add(new LinearFit.Point(entries, cpu.get(STARTS / 2)));
      System.out.printf(Locale.ROOT, "start with a list of %d: processor %.0f ms (%.0f to %.0f), ready after"
          + " %.0f ms (%.0f to %.0f), load %s%n", entries, cpu.get(STARTS / 2), cpu.get(0),
          cpu.get(STARTS - 1), wall.get(STARTS / 2), wall.get(0), wall.get(STARTS - 1),
          ProcessAccount.machineLoad());
    }
    System.out.println(LinearFit.of(points).text("processor ms of a start", "ms"));
  }

  private static void measureStart(int entries, List<Double> cpu, List<Double> wall) throws Exception {
    Path directory = Files.createTempDirectory("list-costs");
    try (ScriptedPeers peers = new ScriptedPeers(entries, ZONES, 1)) {
      JsonObject config = ServeConfig.of(peers.list(entries, ZONES), peers.discoveryAddress(), PROXIES, ZONES,
          SOCKETS, 0);
      long begin = System.nanoTime();
      try (ServeProcess proxy = ServeProcess.start(directory, "n0", config)) {
        proxy.awaitReady(MAX_START_MS);
        wall.add((System.nanoTime() - begin) / 1e6);
        cpu.add(ProcessAccount.cpuMs(proxy.pid()));
      }
    } finally {
      try (Stream<Path> files = Files.list(directory)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(directory);
    }
  }
}

package beampoint.benchmark;

import beampoint.Balancer;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.policy.BalancerPolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Slopes of the decision module's time and memory, by endpoints and by proxies. */
public final class DecisionCosts {

  private static final int[] ENDPOINTS = {14, 60, 200, 610};
  private static final String[] PROXIES = {"14", "100", "400", "2300"};
  private static final String[] MAX_PROXIES = {"2300"};
  private static final String[] MAX_ENDPOINTS = {"610"};
  private static final int INSTANCES = 20;

  private DecisionCosts() {}

  public static void main(String[] args) throws RunnerException {
    for (String price : new String[] {"0", "0.03"}) {
      time("request", "endpoints", texts(ENDPOINTS), MAX_PROXIES, price);
      time("request", "proxies", MAX_ENDPOINTS, PROXIES, price);
    }
    time("changeOfOne", "endpoints", texts(ENDPOINTS), MAX_PROXIES, "0.03");
    time("wholeList", "endpoints", texts(ENDPOINTS), MAX_PROXIES, "0.03");
    memory();
  }

  private static String[] texts(int[] sizes) {
    String[] texts = new String[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      texts[i] = Integer.toString(sizes[i]);
    }
    return texts;
  }

  private static void time(String benchmark, String by, String[] endpoints, String[] proxies, String price)
      throws RunnerException {
    ChainedOptionsBuilder options = new OptionsBuilder()
        .include(DecisionBenchmark.class.getName() + "." + benchmark + "$").verbosity(VerboseMode.SILENT)
        .param("endpoints", endpoints).param("proxies", proxies).param("price", price);
    Collection<RunResult> results = new Runner(options.build()).run();
    List<LinearFit.Point> points = new ArrayList<>();
    for (RunResult result : results) {
      double size = Double.parseDouble(result.getParams().getParam(by));
      double time = result.getPrimaryResult().getScore();
      points.add(new LinearFit.Point(size, time));
      System.out.printf(Locale.ROOT, "%s price %s, %.0f %s: %.2f us (+- %.2f)%n", benchmark, price, size, by,
          time, result.getPrimaryResult().getScoreError());
    }
    System.out.println(LinearFit.of(points).text(benchmark + " by " + by + ", price " + price, "us"));
  }

  /** The heap that an instance with a list holds, of many of them. */
  private static void memory() {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int endpoints : ENDPOINTS) {
      List<Balancer> instances = new ArrayList<>();
      long before = used();
      for (int i = 0; i < INSTANCES; i++) {
        Balancer balancer = new BalancerPolicy(Workload.settings(2_300, 0.03));
        balancer.handle(1_000, new ListReceived(ListKind.FULL, Workload.endpoints(endpoints)));
        instances.add(balancer);
      }
      double each = (used() - before) / 1024.0 / instances.size();
      points.add(new LinearFit.Point(endpoints, each));
      System.out.printf(Locale.ROOT, "heap of an instance, %d endpoints: %.1f KB%n", endpoints, each);
    }
    System.out.println(LinearFit.of(points).text("heap by endpoints", "KB"));
  }

  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

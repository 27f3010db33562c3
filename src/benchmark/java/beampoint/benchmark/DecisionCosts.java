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

/** Fits the time and memory of the decision module against the number of endpoints and of proxies. */
public final class DecisionCosts {

  private static final int[] ENDPOINTS = {14, 60, 200, 610};
  private static final String[] PROXIES = {"14", "100", "400", "2300"};
  private static final String[] MAX_PROXIES = {"2300"};
  private static final String[] MAX_ENDPOINTS = {"610"};
  private static final int INSTANCES = 20;

  private DecisionCosts() {}

  public static void main(String[] args) throws RunnerException {
    for (String price : new String[] {"0", "0.03"}) {
      measureTime("request", "endpoints", texts(ENDPOINTS), MAX_PROXIES, price);
      measureTime("request", "proxies", MAX_ENDPOINTS, PROXIES, price);
    }
    measureTime("changeOfOne", "endpoints", texts(ENDPOINTS), MAX_PROXIES, "0.03");
    measureTime("wholeList", "endpoints", texts(ENDPOINTS), MAX_PROXIES, "0.03");
    measureMemory();
  }

  private static String[] texts(int[] sizes) {
    String[] texts = new String[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      texts[i] = Integer.toString(sizes[i]);
    }
    return texts;
  }

  private static void measureTime(String benchmark, String by, String[] endpoints, String[] proxies,
      String price) throws RunnerException {
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

  /** The heap used by one instance with a host list, as the mean over {@link #INSTANCES}. */
  private static void measureMemory() {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int endpoints : ENDPOINTS) {
      List<Balancer> instances = new ArrayList<>();
      long before = usedHeapBytes();
      for (int i = 0; i < INSTANCES; i++) {
        Balancer balancer = new BalancerPolicy(Workload.settings(2_300, 0.03));
        balancer.handle(1_000, new ListReceived(ListKind.FULL, Workload.endpoints(endpoints)));
        instances.add(balancer);
      }
      double kbPerInstance = (usedHeapBytes() - before) / 1024.0 / instances.size();
      points.add(new LinearFit.Point(endpoints, kbPerInstance));
      System.out.printf(Locale.ROOT, "heap of an instance, %d endpoints: %.1f KB%n", endpoints,
          kbPerInstance);
    }
    System.out.println(LinearFit.of(points).text("heap by endpoints", "KB"));
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}

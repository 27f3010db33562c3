package beampoint.emulator;

import beampoint.Balancer.Result;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The figures of one run. Requests that were due during the warm-up are not counted. */
public final class Report {

  private static final int MAX_LISTED_RULES = 20; // further broken rules are only counted
  private static final long MAX_MICROS = 3_600_000_000L;

  /** Counts and latencies of the requests of one class or tenant. */
  private static final class Tally {
    private long arrived;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double worth;
    private double earned;
    private final Histogram micros = new Histogram(MAX_MICROS, 3); // latency from the due time
  }

  private final Scenario scenario;
  private final Tally all = new Tally();
  private final List<Tally> loadClasses = new ArrayList<>();
  private final List<Tally> tenants = new ArrayList<>();
  private final Map<Result, Long> results = new EnumMap<>(Result.class);
  private final List<String> brokenRules = new ArrayList<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private long brokenRuleCount;
  private double maxColdMultiple;
  private long executedTasks;
  private double start;

  Report(Scenario scenario) {
    this.scenario = scenario;
    scenario.loadClasses().forEach(loadClass -> loadClasses.add(new Tally()));
    scenario.tenants().forEach(tenant -> tenants.add(new Tally()));
    for (String name : List.of("attempts", "second_attempts", "retries", "probes", "handshakes", "fetches",
        "origin_stopped", "decisions", "cold_falls")) {
      counts.put(name, 0L);
    }
  }

  void recordStart(double at) {
    start = at;
  }

  /** The names of all figures that a run of this scenario gives. */
  public static Set<String> names(Scenario scenario) {
    return new Report(scenario).figures().keySet();
  }

  private void count(String name) {
    counts.merge(name, 1L, Long::sum);
  }

  void recordAttempt(int number) {
    count("attempts");
    if (number > 0) {
      count("second_attempts");
    }
  }

  void recordResult(Result result) {
    results.merge(result, 1L, Long::sum);
  }

  void recordRetry() {
    count("retries");
  }

  void recordProbe() {
    count("probes");
  }

  void recordHandshake() {
    count("handshakes");
  }

  void recordFetch() {
    count("fetches");
  }

  void recordOriginStop() {
    count("origin_stopped");
  }

  void recordDecision() {
    count("decisions");
  }

  void recordColdLoad(double multiple) {
    maxColdMultiple = Math.max(maxColdMultiple, multiple);
  }

  void recordColdDeath() {
    count("cold_falls");
  }

  void recordBrokenRule(double at, String rule) {
    brokenRuleCount++;
    if (brokenRules.size() < MAX_LISTED_RULES) {
      brokenRules.add(String.format(Locale.ROOT, "%.3f s, seed %d: %s", (at - start) / 1000, scenario.seed(),
          rule));
    }
  }

  private List<Tally> tallies(ClientRequest request) {
    boolean counted = request.dueAt >= start + scenario.warmUp();
    return counted ? List.of(all, loadClasses.get(request.classNumber), tenants.get(request.tenant))
        : List.of();
  }

  void requestArrived(ClientRequest request) {
    for (Tally tally : tallies(request)) {
      tally.arrived++;
      // A request whose deadline is after the end of the run does not count for the service.
      tally.worth +=
          request.deadline() <= start + scenario.length() ? request.loadClass.requestClass().worth() : 0;
    }
  }

  void served(ClientRequest request, double time) {
    boolean inTime = time <= request.loadClass.requestClass().aim();
    for (Tally tally : tallies(request)) {
      tally.inTime += inTime ? 1 : 0;
      tally.late += inTime ? 0 : 1;
      tally.micros.recordValue((long) Math.min(MAX_MICROS, time * 1000));
      if (request.deadline() <= start + scenario.length()) {
        tally.earned +=
            request.loadClass.requestClass().worth()
                * (inTime ? 1 : request.loadClass.requestClass().lateWorth());
      }
    }
  }

  void notServed(ClientRequest request, ClientRequest.Outcome outcome) {
    for (Tally tally : tallies(request)) {
      tally.refused += outcome == ClientRequest.Outcome.REFUSED ? 1 : 0;
      tally.failed += outcome == ClientRequest.Outcome.REFUSED ? 0 : 1;
    }
  }

  void recordEnd(long tasks) {
    executedTasks = tasks;
  }

  /** The worth of the served requests as a fraction of the worth of all requests, 0 to 1. */
  public double service() {
    return all.worth == 0 ? 0 : all.earned / all.worth;
  }

  /** The first broken rules in order of time, each with its time and seed; at most 20 are listed. */
  public List<String> brokenRules() {
    return List.copyOf(brokenRules);
  }

  /** How often rules were broken, including those not listed. */
  public long brokenRuleCount() {
    return brokenRuleCount;
  }

  /** How many attempts ended with this result. */
  public long count(Result result) {
    return results.getOrDefault(result, 0L);
  }

  /** All figures by name, in a stable order. */
  public Map<String, Double> figures() {
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put("service", service());
    tally(figures, "all", all);
    for (int i = 0; i < loadClasses.size(); i++) {
      tally(figures, "class." + scenario.loadClasses().get(i).name(), loadClasses.get(i));
    }
    for (int i = 0; i < tenants.size(); i++) {
      tally(figures, "tenant." + scenario.tenants().get(i).name(), tenants.get(i));
    }
    counts.forEach((name, count) -> figures.put(name, (double) count));
    for (Result result : Result.values()) {
      figures.put("ended." + result.name().toLowerCase(Locale.ROOT), (double) count(result));
    }
    figures.put("cold_multiple", maxColdMultiple);
    figures.put("rules_broken", (double) brokenRuleCount);
    figures.put("events", (double) executedTasks);
    return figures;
  }

  private static void tally(Map<String, Double> figures, String name, Tally tally) {
    figures.put(name + ".asked", (double) tally.arrived);
    figures.put(name + ".in_time", (double) tally.inTime);
    figures.put(name + ".late", (double) tally.late);
    figures.put(name + ".refused", (double) tally.refused);
    figures.put(name + ".failed", (double) tally.failed);
    figures.put(name + ".service", tally.worth == 0 ? 0 : tally.earned / tally.worth);
    for (double percent : new double[] {50, 99, 99.9}) {
      String label = percent == 99.9 ? "p999" : "p" + (int) percent;
      figures.put(name + "." + label + "_ms", tally.micros.getValueAtPercentile(percent) / 1000.0);
    }
  }
}

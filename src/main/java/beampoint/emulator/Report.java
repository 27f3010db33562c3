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

/** What was counted on one day. A request belongs to the day if it was due after the warm-up. */
public final class Report {

  private static final int MAX_TOLD = 20; // broken rules that are told each by itself
  private static final long MAX_MICROS = 3_600_000_000L;

  /** How the requests of one kind or tenant ended. */
  private static final class Tally {
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private double worth;
    private double earned;
    private final Histogram micros = new Histogram(MAX_MICROS, 3); // from when it was due
  }

  private final Scenario scenario;
  private final Tally all = new Tally();
  private final List<Tally> kinds = new ArrayList<>();
  private final List<Tally> tenants = new ArrayList<>();
  private final Map<Result, Long> ends = new EnumMap<>(Result.class);
  private final List<String> broken = new ArrayList<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private long brokenRuleCount;
  private double coldest;
  private long tasks;
  private double start;

  Report(Scenario scenario) {
    this.scenario = scenario;
    scenario.kinds().forEach(kind -> kinds.add(new Tally()));
    scenario.tenants().forEach(tenant -> tenants.add(new Tally()));
    for (String name : List.of("attempts", "second_attempts", "retries", "probes", "handshakes", "fetches",
        "origin_stopped", "decisions", "cold_falls")) {
      counts.put(name, 0L);
    }
  }

  void begins(double at) {
    start = at;
  }

  /** The names of all figures that a day gives. */
  public static Set<String> names(Scenario scenario) {
    return new Report(scenario).figures().keySet();
  }

  private void count(String name) {
    counts.merge(name, 1L, Long::sum);
  }

  void attempt(int number) {
    count("attempts");
    if (number > 0) {
      count("second_attempts");
    }
  }

  void ended(Result result) {
    ends.merge(result, 1L, Long::sum);
  }

  void retry() {
    count("retries");
  }

  void probe() {
    count("probes");
  }

  void handshake() {
    count("handshakes");
  }

  void fetch() {
    count("fetches");
  }

  void originStopped() {
    count("origin_stopped");
  }

  void decision() {
    count("decisions");
  }

  void coldLoad(double multiple) {
    coldest = Math.max(coldest, multiple);
  }

  void coldFall() {
    count("cold_falls");
  }

  void broken(double at, String rule) {
    brokenRuleCount++;
    if (broken.size() < MAX_TOLD) {
      broken.add(String.format(Locale.ROOT, "%.3f s, seed %d: %s", (at - start) / 1000, scenario.seed(),
          rule));
    }
  }

  private List<Tally> tallies(ClientRequest request) {
    boolean counts = request.dueAt >= start + scenario.warmUp();
    return counts ? List.of(all, kinds.get(request.kindNumber), tenants.get(request.tenant)) : List.of();
  }

  void asked(ClientRequest request) {
    for (Tally tally : tallies(request)) {
      tally.asked++;
      // What is due so late that the day ends before its time is over owes nothing.
      tally.worth += request.endsAt() <= start + scenario.length() ? request.kind.rules().worth() : 0;
    }
  }

  void served(ClientRequest request, double time) {
    boolean inTime = time <= request.kind.rules().aim();
    for (Tally tally : tallies(request)) {
      tally.inTime += inTime ? 1 : 0;
      tally.late += inTime ? 0 : 1;
      tally.micros.recordValue((long) Math.min(MAX_MICROS, time * 1000));
      if (request.endsAt() <= start + scenario.length()) {
        tally.earned += request.kind.rules().worth() * (inTime ? 1 : request.kind.rules().lateWorth());
      }
    }
  }

  void notServed(ClientRequest request, ClientRequest.Outcome outcome) {
    for (Tally tally : tallies(request)) {
      tally.refused += outcome == ClientRequest.Outcome.REFUSED ? 1 : 0;
      tally.failed += outcome == ClientRequest.Outcome.REFUSED ? 0 : 1;
    }
  }

  void end(long run) {
    tasks = run;
  }

  /** The worth that was served, of what was asked for. */
  public double service() {
    return all.worth == 0 ? 0 : all.earned / all.worth;
  }

  /** The rules that were broken, the first first; each with its time and seed. */
  public List<String> brokenRules() {
    return List.copyOf(broken);
  }

  /** How often a rule was broken. */
  public long brokenRuleCount() {
    return brokenRuleCount;
  }

  /** One of the counts, or how often attempts ended in a way. */
  public long count(Result result) {
    return ends.getOrDefault(result, 0L);
  }

  /** All figures by name, in a stable order. */
  public Map<String, Double> figures() {
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put("service", service());
    tally(figures, "all", all);
    for (int i = 0; i < kinds.size(); i++) {
      tally(figures, "class." + scenario.kinds().get(i).name(), kinds.get(i));
    }
    for (int i = 0; i < tenants.size(); i++) {
      tally(figures, "tenant." + scenario.tenants().get(i).name(), tenants.get(i));
    }
    counts.forEach((name, count) -> figures.put(name, (double) count));
    for (Result result : Result.values()) {
      figures.put("ended." + result.name().toLowerCase(Locale.ROOT), (double) count(result));
    }
    figures.put("cold_multiple", coldest);
    figures.put("rules_broken", (double) brokenRuleCount);
    figures.put("events", (double) tasks);
    return figures;
  }

  private static void tally(Map<String, Double> figures, String name, Tally tally) {
    figures.put(name + ".asked", (double) tally.asked);
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

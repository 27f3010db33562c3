package beampoint.experiment;

import beampoint.emulator.Report;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The results of an experiment so far: for each variant the figures of each seed, in order. */
public final class Results {

  private final Plan plan;
  private final Map<String, List<Map<String, Double>>> figures = new TreeMap<>();
  private final List<String> brokenRules = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private long brokenRuleCount;

  Results(Plan plan) {
    this.plan = plan;
    plan.variants().forEach(variant -> figures.put(variant.name(), new ArrayList<>()));
  }

  void add(Plan.Variant variant, Report report) {
    figures.get(variant.name()).add(report.figures());
    brokenRuleCount += report.brokenRuleCount();
    report.brokenRules().forEach(rule -> brokenRules.add(variant.name() + ", " + rule));
  }

  void fail(String reason) {
    failures.add(reason);
  }

  /** The number of seeds that all variants have been run on. */
  public int completedSeeds() {
    return figures.values().stream().mapToInt(List::size).min().orElse(0);
  }

  /** True if not all planned runs have been completed. */
  public boolean isPartial() {
    return completedSeeds() < plan.repeats() || !failures.isEmpty();
  }

  /** The failures of runs, as opposed to broken rules. */
  public List<String> failures() {
    return List.copyOf(failures);
  }

  /** The broken rules, each with variant, time and seed. */
  public List<String> brokenRules() {
    return List.copyOf(brokenRules);
  }

  /** How often rules were broken in all runs, including those not listed. */
  public long brokenRuleCount() {
    return brokenRuleCount;
  }

  /** A figure of a variant on the seeds that all variants have been run on. */
  public double[] values(Plan.Variant variant, String figure) {
    return figures.get(variant.name()).stream().limit(completedSeeds()).mapToDouble(run -> run.get(figure))
        .toArray();
  }

  /** The significance of the difference to the first variant: more, less, or no difference shown. */
  public String verdict(Plan.Variant variant, String figure) {
    ConfidenceInterval difference = difference(variant, figure);
    return !difference.excludesZero() ? "no difference shown" : difference.mean() > 0 ? "more" : "less";
  }

  /** The interval of the difference to the first variant, paired by seed. */
  public ConfidenceInterval difference(Plan.Variant variant, String figure) {
    return ConfidenceInterval.ofDifference(values(variant, figure), values(plan.variants().get(0), figure));
  }
}

package beampoint.experiment;

import beampoint.emulator.Report;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the runs of an experiment gave so far: for each variant a row of figures for each seed, in order. */
public final class Results {

  private final Plan plan;
  private final Map<String, List<Map<String, Double>>> rows = new TreeMap<>();
  private final List<String> broken = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private long brokenRuleCount;

  Results(Plan plan) {
    this.plan = plan;
    plan.variants().forEach(variant -> rows.put(variant.name(), new ArrayList<>()));
  }

  void add(Plan.Variant variant, Report report) {
    rows.get(variant.name()).add(report.figures());
    brokenRuleCount += report.brokenRuleCount();
    report.brokenRules().forEach(rule -> broken.add(variant.name() + ", " + rule));
  }

  void fail(String what) {
    failures.add(what);
  }

  /** How many seeds all variants have been played on. */
  public int complete() {
    return rows.values().stream().mapToInt(List::size).min().orElse(0);
  }

  /** True where less was played than was planned. */
  public boolean isPartial() {
    return complete() < plan.repeats() || !failures.isEmpty();
  }

  /** What went wrong with the experiment itself. */
  public List<String> failures() {
    return List.copyOf(failures);
  }

  /** The broken rules, each with variant, time and seed. */
  public List<String> brokenRules() {
    return List.copyOf(broken);
  }

  public long brokenRuleCount() {
    return brokenRuleCount;
  }

  /** A figure of a variant on the seeds that all variants have been played on. */
  public double[] values(Plan.Variant variant, String figure) {
    return rows.get(variant.name()).stream().limit(complete()).mapToDouble(row -> row.get(figure)).toArray();
  }

  /** The difference to the first variant: what is told of it, in words. */
  public String verdict(Plan.Variant variant, String figure) {
    ConfidenceInterval difference = difference(variant, figure);
    return !difference.excludesZero() ? "no difference shown" : difference.mean() > 0 ? "more" : "less";
  }

  public ConfidenceInterval difference(Plan.Variant variant, String figure) {
    return ConfidenceInterval.ofDifference(values(variant, figure), values(plan.variants().get(0), figure));
  }
}

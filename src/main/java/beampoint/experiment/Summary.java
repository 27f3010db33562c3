package beampoint.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;

/**
 * The summary in Markdown: the broken rules, then each figure of each variant with its confidence interval.
 */
final class Summary {

  private Summary() {}

  /** Replaces the summary atomically by one of the results so far. */
  static void write(Plan plan, Results results, Path directory) throws IOException {
    Path newFile = directory.resolve("summary.md.next");
    Files.writeString(newFile, text(plan, results));
    Files.move(newFile, directory.resolve("summary.md"), StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  static String text(Plan plan, Results results) {
    StringBuilder text = new StringBuilder("# " + plan.file().getFileName() + "\n\n");
    if (results.brokenRuleCount() > 0) {
      text.append("**Rules broken: ").append(results.brokenRuleCount())
          .append(".** The first of each run:\n\n");
      results.brokenRules().forEach(rule -> text.append("- ").append(rule).append('\n'));
      text.append('\n');
    }
    if (results.isPartial()) {
      text.append("**Partial: ").append(results.completedSeeds()).append(" of ").append(plan.repeats())
          .append(" repeats.**\n\n");
      results.failures().forEach(failure -> text.append("- ").append(failure).append('\n'));
      text.append(results.failures().isEmpty() ? "" : "\n");
    }
    long lastSeed = plan.firstSeed() + plan.repeats() - 1;
    text.append("Scenario ").append(plan.scenario().getFileName()).append(", seeds ")
        .append(plan.firstSeed()).append(" to ").append(lastSeed).append("; Java ").append(Runtime.version())
        .append(", ").append(System.getProperty("os.arch")).append(", ")
        .append(Runtime.getRuntime().availableProcessors())
        .append(" processors. Virtual time, simulated.\n\n");
    for (Plan.Variant variant : plan.variants()) {
      text.append("- ").append(variant.name()).append(": ")
          .append(variant.changes().isEmpty() ? "as the scenario has it" : variant.changes().toString())
          .append('\n');
    }
    text.append("\n| figure | variant | mean | 95% interval | difference to ")
        .append(plan.variants().get(0).name()).append(" | |\n| --- | --- | --- | --- | --- | --- |\n");
    boolean hasInterval = results.completedSeeds() >= Plan.MIN_REPEATS;
    for (String figure : plan.figures()) {
      for (Plan.Variant variant : plan.variants()) {
        row(text, results, figure, variant, hasInterval, variant == plan.variants().get(0));
      }
    }
    return text.toString();
  }

  private static void row(StringBuilder text, Results results, String figure, Plan.Variant variant,
      boolean hasInterval, boolean isBase) {
    text.append("| ").append(figure).append(" | ").append(variant.name()).append(" | ");
    if (!hasInterval) {
      text.append("- | too few repeats | - | - |\n");
      return;
    }
    ConfidenceInterval interval = ConfidenceInterval.of(results.values(variant, figure));
    text.append(number(interval.mean())).append(" | ").append(number(interval.low())).append(" to ")
        .append(number(interval.high())).append(" | ");
    if (isBase) {
      text.append("- | - |\n");
      return;
    }
    ConfidenceInterval difference = results.difference(variant, figure);
    text.append(number(difference.mean())).append(" (").append(number(difference.low())).append(" to ")
        .append(number(difference.high())).append(") | ").append(results.verdict(variant, figure))
        .append(" |\n");
  }

  private static String number(double number) {
    return String.format(Locale.ROOT, Math.abs(number) < 10 ? "%.4f" : "%.1f", number);
  }
}

package beampoint.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;

/** The summary in Markdown: what was broken first, then each figure of each variant with its interval. */
final class Summary {

  private Summary() {}

  /** Replaces the summary by one of what there is; a reader never sees half of one. */
  static void write(Plan plan, Results results, Path directory) throws IOException {
    Path next = directory.resolve("summary.md.next");
    Files.writeString(next, text(plan, results));
    Files.move(next, directory.resolve("summary.md"), StandardCopyOption.ATOMIC_MOVE,
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
      text.append("**Partial: ").append(results.complete()).append(" of ").append(plan.repeats())
          .append(" repeats.**\n\n");
      results.failures().forEach(failure -> text.append("- ").append(failure).append('\n'));
      text.append(results.failures().isEmpty() ? "" : "\n");
    }
    long last = plan.firstSeed() + plan.repeats() - 1;
    text.append("Scenario ").append(plan.scenario().getFileName()).append(", seeds ")
        .append(plan.firstSeed()).append(" to ").append(last).append("; Java ").append(Runtime.version())
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
    boolean enough = results.complete() >= Plan.MIN_REPEATS;
    for (String figure : plan.figures()) {
      for (Plan.Variant variant : plan.variants()) {
        row(text, results, figure, variant, enough, variant == plan.variants().get(0));
      }
    }
    return text.toString();
  }

  private static void row(StringBuilder text, Results results, String figure, Plan.Variant variant,
      boolean enough, boolean first) {
    text.append("| ").append(figure).append(" | ").append(variant.name()).append(" | ");
    if (!enough) {
      text.append("- | too few repeats | - | - |\n");
      return;
    }
    ConfidenceInterval own = ConfidenceInterval.of(results.values(variant, figure));
    text.append(number(own.mean())).append(" | ").append(number(own.low())).append(" to ")
        .append(number(own.high())).append(" | ");
    if (first) {
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

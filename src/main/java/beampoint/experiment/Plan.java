package beampoint.experiment;

import beampoint.emulator.Report;
import beampoint.emulator.Scenario;
import beampoint.settings.InputException;
import beampoint.yaml.YamlMapping;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The plan of an experiment: variants of a scenario that are compared by some figures over several seeds;
 * {@code repeats} is the number of seeds on which each variant is run.
 */
public record Plan(Path file, Path scenario, int repeats, long firstSeed, List<String> figures,
    List<Variant> variants) {

  /**
   * The minimum number of seeds on which each variant is run; fewer give no meaningful confidence interval.
   */
  public static final int MIN_REPEATS = 10;
  private static final int VERSION = 1;
  private static final List<String> DEFAULT_FIGURES =
      List.of("service", "all.p50_ms", "all.p99_ms", "fetches", "handshakes", "probes", "cold_multiple");

  /** A variant: the values that it changes, by field path, and the resulting scenario. */
  public record Variant(String name, Map<String, String> changes, Scenario scenario) {}

  /** Reads a plan and its scenario; an error is reported in one sentence with its line and field. */
  public static Plan read(Path file) throws InputException {
    YamlMapping top = YamlMapping.read(file);
    if (top.wholeNumber("version", Double.NaN, -1_000_000, 1_000_000) != VERSION) {
      throw top.invalid("version", "this program reads version " + VERSION + " only");
    }
    Path scenario = file.toAbsolutePath().resolveSibling(top.text("scenario", null));
    int repeats = top.wholeNumber("repeats", Double.NaN, 1, 100_000);
    if (repeats < MIN_REPEATS) {
      throw top.invalid("repeats", repeats + " are too few for an interval, which needs " + MIN_REPEATS);
    }
    long firstSeed = (long) top.number("first_seed", 1, 0, 1e15);
    String figureNames = top.text("figures", String.join(" ", DEFAULT_FIGURES));
    List<Variant> variants = new ArrayList<>();
    for (YamlMapping fields : top.list("variants", 2)) {
      String name = fields.text("name", null);
      if (variants.stream().anyMatch(v -> v.name().equals(name))) {
        throw fields.invalid("name", "duplicate variant name: '" + name + "'");
      }
      Map<String, String> changes = fields.mapping("set").texts();
      fields.rejectUnknownFields();
      variants.add(new Variant(name, changes, Scenario.read(scenario, changes)));
    }
    List<String> figures = List.of(figureNames.trim().split("[ ,]+"));
    for (Variant variant : variants) {
      for (String figure : figures) {
        if (!Report.names(variant.scenario()).contains(figure)) {
          throw top.invalid("figures", "no figure of variant '" + variant.name() + "': '" + figure + "'");
        }
      }
    }
    top.rejectUnknownFields();
    return new Plan(file, scenario, repeats, firstSeed, figures, List.copyOf(variants));
  }
}

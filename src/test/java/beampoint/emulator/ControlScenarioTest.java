package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.settings.InputException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Control scenarios: their files, and runs of a small one. */
class ControlScenarioTest {

  private static final long FIRST_SEED = Long.getLong("control.first", 1); // set for longer searches
  private static final int SEEDS = Integer.getInteger("control.seeds", 5);
  private static final String DAY = """
      version: 1
      model: control
      seconds: 40
      warm_up_seconds: 5
      proxies: 120
      sites: 12
      zones: 6
      regions: 3
      control_machines: 5
      fan_out: 0
      network: {loss: 0.002, repeats: 0.001}
      changes: {purges_per_s: 27, configurations_per_day: 31000, document_bytes: 1000}
      limits: {purge_ms: 2400}
      faults:
        - {what: zone-lost, zone: 4, at_s: 8, for_s: 8}
        - {what: region-cut, region: 2, at_s: 12, for_s: 10}
      """;

  private static String problem(String text) {
    String problem = assertThrows(InputException.class, () -> ControlScenario.parse("day.yaml", text))
        .getMessage();
    assertEquals(1, problem.lines().count(), problem);
    return problem;
  }

  @Test
  void eachErrorInAFileIsReportedWithLineAndField() {
    String[][] cases = {
        {"proxies: 120", "proxys: 120", "day.yaml, line 1, field 'proxies': missing"},
        {"proxies: 120", "proxies: 0", "day.yaml, line 5, field 'proxies': 0 is not from 1 to 4000"},
        {"sites: 12", "sites: 121", "day.yaml, line 6, field 'sites': 121 is not from 1 to 120"},
        {"model: control", "model: other", "day.yaml, line 2, field 'model': only 'control' is known"},
        {"version: 1", "version: 2", "line 1, field 'version': this program reads version 1 only"},
        {"loss: 0.002", "loss: much", "day.yaml, line 11, field 'network.loss': not a number: 'much'"},
        {"loss: 0.002", "lost: 0.002", "day.yaml, line 11, field 'network.lost': unknown"},
        {"purge_ms: 2400", "purge_ms: 0", "day.yaml, line 13, field 'limits.purge_ms': 0 is not from 1"},
        {"what: zone-lost", "what: zone-gone", "'zone-gone' is not one of zone-lost, region-cut"},
        {"zone: 4", "zone: 6", "day.yaml, line 15, field 'faults[0].zone': 6 is not from 0 to 5"},
        {"region: 2", "zone: 2", "day.yaml, line 16, field 'faults[1].region': missing"},
        {"for_s: 10", "for_s: 30", "day.yaml, line 16, field 'faults[1].for_s': 30 is not from 0.1 to 28"},
    };
    for (String[] example : cases) {
      String problem = problem(DAY.replace(example[0], example[1]));
      assertTrue(problem.contains(example[2]), problem);
    }
  }

  @Test
  void theDeployedScenarioCanBeReadAndHasTheFullSize() throws InputException {
    Path file = Path.of("deploy/scenarios/fleet-size.yaml");
    assertTrue(ControlScenario.isControlScenario(file));
    ControlScenario scenario = ControlScenario.read(file);
    assertEquals(new ControlScenario.Size(2_300, 180, 31, 8, 13), scenario.size());
    assertEquals(27, scenario.changes().purges());
    assertTrue(!ControlScenario.isControlScenario(Path.of("deploy/scenarios/release-day.yaml")));
  }

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void aSmallFleetKeepsTheLimits(long seed) throws InputException {
    ControlReport report = ControlEmulation.run(ControlScenario.parse("day.yaml", DAY).withSeed(seed));
    assertEquals(List.of(), report.brokenLimits());
    assertTrue(report.value("changes.purges") > 800, "purges: " + report.value("changes.purges"));
    assertTrue(report.value("changes.purge_max_ms") > 0);
  }

  @Test
  void aBrokenLimitIsReported() throws InputException {
    String strict = DAY.replace("purge_ms: 2400", "purge_ms: 10");
    ControlReport report = ControlEmulation.run(ControlScenario.parse("day.yaml", strict));
    assertEquals(1,
        report.brokenLimits().stream().filter(b -> b.startsWith("changes.purge_max_ms is ")).count());
  }

  @Test
  void theSameSeedGivesTheSameFigures() throws InputException {
    ControlScenario scenario = ControlScenario.parse("day.yaml", DAY.replace("seconds: 40", "seconds: 28"));
    assertEquals(reproducible(ControlEmulation.run(scenario)), reproducible(ControlEmulation.run(scenario)));
  }

  /** All figures except those measured on this process. */
  private static List<String> reproducible(ControlReport report) {
    return report.figures().entrySet().stream()
        .filter(e -> !e.getKey().equals("control.cpu_part") && !e.getKey().equals("control.heap_mb"))
        .map(e -> e.getKey() + "=" + e.getValue()).toList();
  }
}

package beampoint.experiment;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Settings;
import beampoint.emulator.Emulation;
import beampoint.emulator.Scenario;
import beampoint.policy.BalancerPolicy;
import beampoint.settings.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Experiments: detection of differences, reproducibility, failing runs and invalid plans. */
@Timeout(120)
class ExperimentTest {

  private static final String DAY = """
      version: 1
      seconds: 4
      proxies: 2
      settings: {attempts: 3}
      classes: [{name: read, work_ms: 10, aim_ms: 300, deadline_ms: 800}]
      tenants: [{name: one, quota_per_s: 60}]
      keys: {count: 400}
      caches: {count: 5, memory_keys: 300}
      origin: {servers: 8, work_ms: 40}
      faults: [{what: errors, at_s: 0.5, for_s: 3, part: 0.4, factor: 0.6}]
      """;
  private static final String PLAN = """
      version: 1
      scenario: day.yaml
      repeats: 10
      figures: service fetches
      variants:
        - {name: present}
        - {name: other, set: {settings.attempts: 1}}
      """;

  @TempDir
  private Path directory;

  @BeforeEach
  void write() throws IOException {
    Files.writeString(directory.resolve("day.yaml"), DAY);
  }

  private Plan plan(String text) throws Exception {
    return Plan.read(Files.writeString(directory.resolve("plan.yaml"), text));
  }

  private Results run(Plan plan, Function<Settings, Balancer> factory) throws Exception {
    return new Experiment(plan, factory, 2, 20).run(directory.resolve("out"));
  }

  private String summary() throws IOException {
    return Files.readString(directory.resolve("out/summary.md"));
  }

  @Test
  void aWorseVariantIsDetectedAndAnEqualOneIsNot() throws Exception {
    Plan plan = plan(PLAN + "  - {name: same}\n");
    Results results = run(plan, BalancerPolicy::new);
    assertEquals("less", results.verdict(plan.variants().get(1), "service"));
    assertEquals("no difference shown", results.verdict(plan.variants().get(2), "service"));
    assertFalse(results.isPartial());
    assertTrue(summary().contains("| service | other | "), summary());
    assertTrue(summary().contains("no difference shown"), summary());
    assertEquals(31, Files.readAllLines(directory.resolve("out/runs.csv")).size());
    assertTrue(Files.readString(directory.resolve("out/service.svg")).contains("<svg"));
  }

  @Test
  void anExperimentIsReproducible() throws Exception {
    run(plan(PLAN), BalancerPolicy::new);
    byte[] first = Files.readAllBytes(directory.resolve("out/runs.csv"));
    String summary = summary();
    run(plan(PLAN), BalancerPolicy::new);
    assertArrayEquals(first, Files.readAllBytes(directory.resolve("out/runs.csv")));
    assertEquals(summary, summary());
  }

  /**
   * For equal variants on different seeds, the 95% interval of the difference contains 0 in about 95% of
   * cases.
   */
  @Test
  void equalVariantsShowADifferenceAsRarelyAsTheIntervalStates() throws Exception {
    Scenario day = Scenario.read(directory.resolve("day.yaml"));
    int containsZero = 0;
    for (int group = 0; group < 100; group++) {
      double[] one = new double[10];
      double[] other = new double[10];
      for (int i = 0; i < 10; i++) {
        one[i] = Emulation.run(day.withSeed(group * 20L + i), BalancerPolicy::new).service();
        other[i] = Emulation.run(day.withSeed(group * 20L + 10 + i), BalancerPolicy::new).service();
      }
      containsZero += ConfidenceInterval.ofDifference(one, other).excludesZero() ? 0 : 1;
    }
    assertTrue(containsZero >= 88 && containsZero < 100,
        "intervals that contain 0: " + containsZero + " of 100");
  }

  @Test
  void aBrokenRuleIsListedFirstWithVariantSeedAndTime() throws Exception {
    Results results = run(plan(PLAN), settings -> settings.limits().maxAttempts() > 1
        ? new BalancerPolicy(settings) : (now, event) -> List.of());
    assertTrue(results.brokenRuleCount() > 0);
    assertTrue(results.brokenRules().get(0).matches("other, [0-9.]+ s, seed 1: a request was lost.*"),
        results.brokenRules().get(0));
    assertTrue(summary().indexOf("Rules broken") < summary().indexOf("| figure"), summary());
  }

  @Test
  void aFailingVariantKeepsTheEarlierResultsWhichAreMarkedPartial() throws Exception {
    Results results = run(plan(PLAN), settings -> {
      if (settings.limits().maxAttempts() == 1 && settings.seed() / 1_000_003 == 4) {
        throw new IllegalStateException("it does not start");
      }
      return new BalancerPolicy(settings);
    });
    assertTrue(results.isPartial());
    assertEquals(3, results.completedSeeds());
    assertTrue(summary().contains("Partial: 3 of 10 repeats"), summary());
    assertTrue(summary().contains("other, seed 4: failed: java.lang.IllegalStateException"), summary());
    assertEquals(8, Files.readAllLines(directory.resolve("out/runs.csv")).size());
  }

  @Test
  void aVariantThatHangsIsAbandoned() throws Exception {
    CountDownLatch neverReleased = new CountDownLatch(1);
    Experiment experiment = new Experiment(plan(PLAN), settings -> {
      try {
        neverReleased.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return new BalancerPolicy(settings);
    }, 2, 0.2);
    Results results = experiment.run(directory.resolve("out"));
    assertEquals(0, results.completedSeeds());
    assertTrue(results.failures().get(0).contains("not ended after 0.2 s"), results.failures().get(0));
  }

  @Test
  void anUnwritableDirectoryIsAnError() throws Exception {
    Path file = Files.writeString(directory.resolve("file"), "");
    Plan plan = plan(PLAN);
    assertThrows(IOException.class, () -> new Experiment(plan, BalancerPolicy::new, 1, 20).run(file));
  }

  @Test
  void anErrorInAPlanIsReportedWithLineAndField() {
    String[][] cases = {
        {"repeats: 10", "repeats: 9", "line 3, field 'repeats': 9 are too few for an interval"},
        {"scenario: day.yaml", "scenario: none.yaml", "none.yaml: can't be read"},
        {"fetches", "colour", "no figure of variant 'present': 'colour'"},
        {"name: other", "name: present", "duplicate variant name: 'present'"},
        {"settings.attempts: 1", "settings.attempts: 0", "field 'settings.attempts': 0 is not from 1 to 100"},
        {"settings.attempts: 1", "settings.colour: 1", "field 'settings.colour': unknown"},
        {"settings.attempts: 1", "\"classes[4].aim_ms\": 1",
            "can't set 'classes[4].aim_ms': no such mapping"},
        {"version: 1", "version: 3", "this program reads version 1 only"},
    };
    for (String[] example : cases) {
      String problem = assertThrows(InputException.class, () -> plan(PLAN.replace(example[0], example[1])))
          .getMessage();
      assertTrue(problem.contains(example[2]), problem);
    }
  }

  /** A variant may change any field, also in a list, and may set fields that the scenario omits. */
  @Test
  void aVariantChangesOnlyTheFieldsThatItNames() throws Exception {
    Plan plan = plan(PLAN.replace("settings.attempts: 1",
        "\"classes[0].aim_ms\": 250, clients.retries: 0, prices.probe: 0.5"));
    Scenario changed = plan.variants().get(1).scenario();
    assertEquals(250, changed.loadClasses().get(0).requestClass().aim());
    assertEquals(0, changed.clients().retries());
    assertEquals(0.5, changed.prices().probe());
    assertEquals(plan.variants().get(0).scenario().limits(), changed.limits());
  }
}

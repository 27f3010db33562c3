package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.policy.BalancerPolicy;
import beampoint.settings.InputException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;

/** The fleet model: it is reproducible, reacts to each fault, and its checks detect broken rules. */
class EmulationTest {

  static final String DAY = """
      version: 1
      seconds: 12
      proxies: 2
      zones: 2
      discovery_ms: 200
      settings: {attempts: 3, probes: true}
      rules: {drain_grace_ms: 500, fall_multiple: 3, fall_window_ms: 1000, cold_from: 0.2, warm_up_ms: 5000}
      classes:
        - {name: read, share: 90, work_ms: 20, aim_ms: 500, deadline_ms: 1200}
        - {name: put, effect: unsafe, write: true, share: 10, work_ms: 1, aim_ms: 800, deadline_ms: 2000}
      tenants: [{name: one, quota_per_s: 100}]
      keys: {count: 2000, zipf: 0.8}
      caches: {count: 6, cores: 2, queue: 20, memory_keys: 600}
      origin: {servers: 10, work_ms: 60, queue: 100}
      """;

  private static Scenario scenario(String... more) throws InputException {
    return Scenario.parse("test", DAY + String.join("\n", more));
  }

  private static Scenario with(String fault) throws InputException {
    return scenario("faults: [" + fault + "]");
  }

  private static Report run(Scenario scenario) {
    return Emulation.run(scenario, BalancerPolicy::new);
  }

  /** Runs a scenario with a decision module that sends as the test says, to break rules on purpose. */
  private static Report run(Scenario scenario,
      BiFunction<Balancer.Event, Map<String, Endpoint>, List<Send>> module) {
    return Emulation.run(scenario, settings -> new Balancer() {
      private final Map<String, Endpoint> endpoints = new TreeMap<>();

      @Override
      public List<Action> handle(double now, Event event) {
        if (event instanceof ListReceived e) {
          e.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        }
        List<Action> actions = new ArrayList<>(module.apply(event, endpoints));
        if (event instanceof AttemptEnded e && !e.done() && actions.isEmpty()) {
          actions.add(new Fail(e.id()));
        }
        return actions;
      }
    });
  }

  private static void assertBroken(Report report, String rule) {
    assertTrue(report.brokenRules().stream().anyMatch(broken -> broken.contains(rule)),
        "" + report.brokenRules());
  }

  @Test
  void theSameSeedGivesTheSameReportAndAnotherSeedADifferentOne() throws Exception {
    Scenario scenario = with("{what: crash, at_s: 4, for_s: 3, part: 0.3}");
    Map<String, Double> first = run(scenario).figures();
    assertEquals(first, run(scenario).figures());
    assertNotEquals(first, run(scenario.withSeed(2)).figures());
  }

  @Test
  void aScenarioWithoutFaultsIsServedAndBreaksNoRule() throws Exception {
    Report report = run(scenario());
    assertEquals(List.of(), report.brokenRules());
    assertTrue(report.service() > 0.97, "service: " + report.service());
    Map<String, Double> figures = report.figures();
    assertTrue(figures.get("all.asked") > 1000, "asked: " + figures.get("all.asked"));
    assertTrue(figures.get("all.p50_ms") > 5 && figures.get("all.p50_ms") < 200);
    double ended = figures.get("all.in_time") + figures.get("all.late") + figures.get("all.refused")
        + figures.get("all.failed");
    assertTrue(figures.get("all.asked") - ended < 30,
        "only requests that are open at the end have not ended");
  }

  /** Each fault affects the results, and none breaks a rule at this size. */
  @Test
  void eachFaultAffectsTheResults() throws Exception {
    Report calm = run(scenario());
    Map<String, Result> expectedResults = new HashMap<>();
    expectedResults.put("{what: crash, at_s: 4, for_s: 3, part: 0.3}", Result.CONNECT_FAILED);
    expectedResults.put("{what: silent, at_s: 4, for_s: 3, part: 0.3}", Result.TIMEOUT);
    expectedResults.put("{what: errors, at_s: 4, for_s: 3, part: 0.3}", Result.ERROR);
    expectedResults.put("{what: refuse, at_s: 4, for_s: 3, part: 0.3}", Result.CONNECT_FAILED);
    for (Map.Entry<String, Result> expected : expectedResults.entrySet()) {
      Report report = run(with(expected.getKey()));
      assertEquals(List.of(), report.brokenRules(), expected.getKey());
      assertTrue(report.count(expected.getValue()) > calm.count(expected.getValue()), expected.getKey());
    }
    for (String fault : List.of("{what: slow, at_s: 2, for_s: 9, part: 1, factor: 9}",
        "{what: origin-slow, at_s: 2, for_s: 9, factor: 9}", "{what: restart, at_s: 4, for_s: 2, part: 0.5}",
        "{what: surge, at_s: 2, for_s: 9, tenant: one, factor: 8}")) {
      assertTrue(run(with(fault)).service() < calm.service() - 0.01, fault);
    }
    Report roll = run(with("{what: roll, at_s: 2, for_s: 6, part: 1}"));
    assertEquals(List.of(), roll.brokenRules());
    assertTrue(roll.figures().get("cold_multiple") > 0.1, "the replacements get requests");
  }

  /** While discovery is down proxies are not notified of a crash; the module has to detect it itself. */
  @Test
  void crashesDuringAnOutageOfDiscoveryAreDetectedByTheModule() throws Exception {
    Report report = run(scenario("faults:", "  - {what: discovery-down, at_s: 2, for_s: 6}",
        "  - {what: crash, at_s: 3, for_s: 100, part: 0.3}"));
    assertEquals(List.of(), report.brokenRules());
    assertTrue(report.count(Result.CONNECT_FAILED) > 10);
    assertTrue(report.service() > 0.8, "service: " + report.service());
  }

  private static Send to(RequestReceived e, String endpoint) {
    return new Send(e.id(), endpoint, 0);
  }

  @Test
  void anUnansweredRequestIsReported() throws Exception {
    Report report = run(scenario(), (event, endpoints) -> List.of());
    assertBroken(report, "lost");
    assertTrue(report.brokenRuleCount() > 1000);
  }

  @Test
  void anUnsafeEffectThatRunsTwiceIsReported() throws Exception {
    Report report = run(scenario("clients: {retries: 0}"),
        (event, endpoints) -> event instanceof RequestReceived e ? List.of(new Send(e.id(), "origin", 30))
            : event instanceof AttemptEnded e && e.result() == Result.TIMEOUT && e.attempt() < 2
                ? List.of(new Send(e.id(), "origin", 0))
            : List.of());
    assertBroken(report, "ran twice");
  }

  @Test
  void anAttemptAfterADrainsGracePeriodIsReported() throws Exception {
    Report report = run(with("{what: roll, at_s: 2, for_s: 1, part: 1}"),
        (event, endpoints) -> event instanceof RequestReceived e ? List.of(to(e, "cache-0")) : List.of());
    assertBroken(report, "drain's grace");
  }

  @Test
  void anOverloadedColdCacheIsReported() throws Exception {
    Report report = run(with("{what: crash, at_s: 2, for_s: 1, part: 0.1}"), (event, endpoints) -> {
      Endpoint cold = endpoints.values().stream().filter(n -> n.startedAt() > 0).findFirst().orElse(null);
      String chosen = cold == null || cold.state() != EndpointState.RUNNING ? "origin" : cold.id();
      return event instanceof RequestReceived e ? List.of(to(e, chosen)) : List.of();
    });
    assertBroken(report, "pushed over");
  }

  /** A process that starts during an outage of discovery has to respect drains announced before. */
  @Test
  void aDrainAnnouncedBeforeARestartIsRespectedWhileDiscoveryIsDown() throws Exception {
    for (int outage : new int[] {2, 8, 30}) {
      Scenario scenario = Scenario.parse("test", DAY.replace("seconds: 12", "seconds: 45") + """
          faults:
            - {what: roll, at_s: 1, for_s: 1, part: 0.5}
            - {what: discovery_down, at_s: 3, for_s: %d}
            - {what: restart, at_s: 3.5, for_s: 0.5, part: 1}
          """.formatted(outage));
      assertEquals(List.of(), run(scenario).brokenRules(), "an outage of " + outage + " s");
    }
  }
}

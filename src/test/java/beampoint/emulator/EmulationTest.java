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

/** The model of a fleet: exact for a seed, sensitive to each fault, and its checks of the rules can fail. */
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

  private static Scenario day(String... more) throws InputException {
    return Scenario.parse("test", DAY + String.join("\n", more));
  }

  private static Scenario with(String fault) throws InputException {
    return day("faults: [" + fault + "]");
  }

  private static Report play(Scenario scenario) {
    return Emulation.run(scenario, BalancerPolicy::new);
  }

  /** A module that does what a test says, and so breaks rules on purpose. */
  private static Report play(Scenario scenario,
      BiFunction<Balancer.Event, Map<String, Endpoint>, List<Send>> wrong) {
    return Emulation.run(scenario, settings -> new Balancer() {
      private final Map<String, Endpoint> seen = new TreeMap<>();

      @Override
      public List<Action> handle(double now, Event event) {
        if (event instanceof ListReceived e) {
          e.endpoints().forEach(endpoint -> seen.put(endpoint.id(), endpoint));
        }
        List<Action> actions = new ArrayList<>(wrong.apply(event, seen));
        if (event instanceof AttemptEnded e && !e.done() && actions.isEmpty()) {
          actions.add(new Fail(e.id()));
        }
        return actions;
      }
    });
  }

  private static void assertTold(Report report, String rule) {
    assertTrue(report.brokenRules().stream().anyMatch(told -> told.contains(rule)),
        "" + report.brokenRules());
  }

  @Test
  void oneSeedGivesOneReportToTheLastDigitAndAnotherSeedAnother() throws Exception {
    Scenario scenario = with("{what: crash, at_s: 4, for_s: 3, part: 0.3}");
    Map<String, Double> first = play(scenario).figures();
    assertEquals(first, play(scenario).figures());
    assertNotEquals(first, play(scenario.withSeed(2)).figures());
  }

  @Test
  void aCalmDayIsServedAndBreaksNoRule() throws Exception {
    Report report = play(day());
    assertEquals(List.of(), report.brokenRules());
    assertTrue(report.service() > 0.97, "service: " + report.service());
    Map<String, Double> figures = report.figures();
    assertTrue(figures.get("all.asked") > 1000, "asked: " + figures.get("all.asked"));
    assertTrue(figures.get("all.p50_ms") > 5 && figures.get("all.p50_ms") < 200);
    double ended = figures.get("all.in_time") + figures.get("all.late") + figures.get("all.refused")
        + figures.get("all.failed");
    assertTrue(figures.get("all.asked") - ended < 30, "only what is open at the end has not ended");
  }

  /** Each fault leaves its mark, and none breaks a rule at this size. */
  @Test
  void eachFaultShows() throws Exception {
    Report calm = play(day());
    Map<String, Result> marks = new HashMap<>();
    marks.put("{what: crash, at_s: 4, for_s: 3, part: 0.3}", Result.CONNECT_FAILED);
    marks.put("{what: silent, at_s: 4, for_s: 3, part: 0.3}", Result.TIMEOUT);
    marks.put("{what: errors, at_s: 4, for_s: 3, part: 0.3}", Result.ERROR);
    marks.put("{what: refuse, at_s: 4, for_s: 3, part: 0.3}", Result.CONNECT_FAILED);
    for (Map.Entry<String, Result> mark : marks.entrySet()) {
      Report report = play(with(mark.getKey()));
      assertEquals(List.of(), report.brokenRules(), mark.getKey());
      assertTrue(report.count(mark.getValue()) > calm.count(mark.getValue()), mark.getKey());
    }
    for (String fault : List.of("{what: slow, at_s: 2, for_s: 9, part: 1, factor: 9}",
        "{what: origin-slow, at_s: 2, for_s: 9, factor: 9}", "{what: restart, at_s: 4, for_s: 2, part: 0.5}",
        "{what: surge, at_s: 2, for_s: 9, tenant: one, factor: 8}")) {
      assertTrue(play(with(fault)).service() < calm.service() - 0.01, fault);
    }
    Report roll = play(with("{what: roll, at_s: 2, for_s: 6, part: 1}"));
    assertEquals(List.of(), roll.brokenRules());
    assertTrue(roll.figures().get("cold_multiple") > 0.1, "successors were sent something");
  }

  /** While discovery is down nobody learns of a death; the module finds out by itself. */
  @Test
  void whatDiscoveryDoesNotTellIsToldOnceItIsBack() throws Exception {
    Report report = play(day("faults:", "  - {what: discovery-down, at_s: 2, for_s: 6}",
        "  - {what: crash, at_s: 3, for_s: 100, part: 0.3}"));
    assertEquals(List.of(), report.brokenRules());
    assertTrue(report.count(Result.CONNECT_FAILED) > 10);
    assertTrue(report.service() > 0.8, "service: " + report.service());
  }

  private static Send to(RequestReceived e, String endpoint) {
    return new Send(e.id(), endpoint, 0);
  }

  @Test
  void aRequestThatNobodyAnswersIsTold() throws Exception {
    Report report = play(day(), (event, seen) -> List.of());
    assertTold(report, "lost");
    assertTrue(report.brokenRuleCount() > 1000);
  }

  @Test
  void anUnsafeEffectThatRunsTwiceIsTold() throws Exception {
    Report report = play(day("clients: {retries: 0}"), (event, seen) -> event instanceof RequestReceived e
        ? List.of(new Send(e.id(), "origin", 30))
        : event instanceof AttemptEnded e && e.result() == Result.TIMEOUT && e.attempt() < 2
            ? List.of(new Send(e.id(), "origin", 0))
        : List.of());
    assertTold(report, "ran twice");
  }

  @Test
  void aSendPastADrainsGraceIsTold() throws Exception {
    Report report = play(with("{what: roll, at_s: 2, for_s: 1, part: 1}"),
        (event, seen) -> event instanceof RequestReceived e ? List.of(to(e, "cache-0")) : List.of());
    assertTold(report, "drain's grace");
  }

  @Test
  void aColdCacheThatIsPushedOverIsTold() throws Exception {
    Report report = play(with("{what: crash, at_s: 2, for_s: 1, part: 0.1}"), (event, seen) -> {
      Endpoint cold = seen.values().stream().filter(n -> n.startedAt() > 0).findFirst().orElse(null);
      String chosen = cold == null || cold.state() != EndpointState.RUNNING ? "origin" : cold.id();
      return event instanceof RequestReceived e ? List.of(to(e, chosen)) : List.of();
    });
    assertTold(report, "pushed over");
  }

  /** Drains told before discovery went down bind a process that starts meanwhile. */
  @Test
  void aDrainToldBeforeARestartIsKeptWhileDiscoveryIsDown() throws Exception {
    for (int outage : new int[] {2, 8, 30}) {
      Scenario scenario = Scenario.parse("test", DAY.replace("seconds: 12", "seconds: 45") + """
          faults:
            - {what: roll, at_s: 1, for_s: 1, part: 0.5}
            - {what: discovery_down, at_s: 3, for_s: %d}
            - {what: restart, at_s: 3.5, for_s: 0.5, part: 1}
          """.formatted(outage));
      assertEquals(List.of(), play(scenario).brokenRules(), "an outage of " + outage + " s");
    }
  }
}

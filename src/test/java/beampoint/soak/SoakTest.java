package beampoint.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.soak.Outcome.Verdict;
import beampoint.soak.Request.Attempt;
import beampoint.soak.Request.Kind;
import beampoint.soak.Violation.Check;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

/** Checks of the soak test itself: which violations it reports, and its command line. */
@Timeout(30)
class SoakTest {

  private static final double DEADLINE_MS = 300;

  /** The rules that a request sent at 1 s violates after the events; the node "drained" drains since 0 s. */
  private static List<Check> violatedRules(Kind kind, Consumer<Request> events) {
    Request request = new Request("1a", kind, DEADLINE_MS);
    request.recordSent(1000);
    events.accept(request);
    return Checks.findViolations(List.of(request), Map.of("drained", 0.0), List.of()).stream()
        .map(Violation::check).toList();
  }

  @Test
  void aRequestAnsweredInTimeViolatesNoRule() {
    assertEquals(List.of(), violatedRules(Kind.READ, request -> {
      request.recordAttempt(new Attempt(1010, "cache", 290));
      request.recordAnswer(1000 + DEADLINE_MS + 500, false);
    }));
  }

  @Test
  void aViolationOfEachRuleIsReported() {
    assertEquals(List.of(Check.ANSWER_IN_TIME),
        violatedRules(Kind.READ, request -> request.recordAnswer(1000 + DEADLINE_MS + 501, false)));
    assertEquals(List.of(Check.ONE_ANSWER),
        violatedRules(Kind.READ, request -> request.recordAnswer(1001, true)));
    assertEquals(List.of(Check.ONE_ANSWER), violatedRules(Kind.READ, request -> {
      request.recordAnswer(1001, false);
      request.recordAnswer(1002, false);
    }));
    assertEquals(List.of(Check.NOT_CUT_OFF), violatedRules(Kind.READ, request -> {
      request.recordSlowReply(1200);
      request.recordAnswer(1100, false);
    }));
    assertEquals(List.of(), violatedRules(Kind.READ, request -> {
      request.recordSlowReply(1200);
      request.recordServed();
      request.recordAnswer(1200, false);
    }));
    assertEquals(List.of(Check.NOT_LOST), violatedRules(Kind.READ, request -> {
      request.recordAttempt(new Attempt(1010, "cache", 290));
      request.recordConnectionEnd(1020);
    }));
    assertEquals(List.of(Check.NOT_AFTER_LEAVING), violatedRules(Kind.READ, request -> {
      request.recordClientClose(1050);
      request.recordAttempt(new Attempt(1151, "cache", 100));
    }));
    assertEquals(List.of(Check.TIME_TOLD), violatedRules(Kind.READ, request -> {
      request.recordAttempt(new Attempt(1200, "cache", 251));
      request.recordAnswer(1250, false);
    }));
    assertEquals(List.of(Check.DRAIN), violatedRules(Kind.READ, request -> {
      request.recordAttempt(new Attempt(1051, "drained", 240));
      request.recordAnswer(1060, false);
    }));
  }

  @Test
  void aDuplicateEffectIsReportedUnlessItsRepeatIsDropped() {
    for (Kind kind : new Kind[] {Kind.KEYED, Kind.UNSAFE}) {
      for (double laterMs : new double[] {Bounds.DEDUP_WINDOW_MS, Bounds.DEDUP_WINDOW_MS + 1}) {
        List<Check> violated = violatedRules(kind, request -> {
          request.recordAttempt(new Attempt(1010, "origin", 200));
          request.executeWrite(1010, Bounds.DEDUP_WINDOW_MS);
          request.executeWrite(1010 + laterMs, Bounds.DEDUP_WINDOW_MS);
          request.recordAnswer(1020, false);
        });
        boolean isDropped = kind == Kind.KEYED && laterMs <= Bounds.DEDUP_WINDOW_MS;
        assertEquals(isDropped ? List.of() : List.of(Check.EFFECT_ONCE), violated,
            kind + " after " + laterMs);
      }
    }
  }

  private static Violation timeViolation(double from, double at, double excessMs) {
    return new Violation(Check.TIME_TOLD, from, at, excessMs, "1a", "");
  }

  /** A violation is explained only if one party was stalled for at least the excess, within its interval. */
  @Test
  void aStallExplainsNoMoreThanItsOwnDuration() {
    StallTrace machineStalls = new StallTrace();
    machineStalls.add("harness", 1000, 1100, 40);
    machineStalls.add("n0-0.log", 1000, 1100, 30);
    assertTrue(machineStalls.explains(timeViolation(900, 1200, 40)));
    assertFalse(machineStalls.explains(timeViolation(900, 1200, 41)), "two parties are not added up");
    assertFalse(machineStalls.explains(timeViolation(900, 1050, 21)), "half of the stall was later");
    assertFalse(machineStalls.explains(timeViolation(1100, 1200, 1)), "the stall ended before the violation");
    assertFalse(machineStalls.explains(timeViolation(900, 1000, 1)), "the stall began after the violation");
    machineStalls.add("harness", 1150, 1160, 10);
    assertTrue(machineStalls.explains(timeViolation(900, 1200, 50)));
    assertFalse(machineStalls.explains(new Violation(Check.NOT_LOST, 1200, "1a", "")), "not a time limit");
    assertFalse(machineStalls.explains(timeViolation(0, 2000, Double.POSITIVE_INFINITY)));
  }

  /** A process has to tolerate a pause of 0.15 s; only a longer pause explains a violation. */
  @Test
  void aPauseOf150MsExplainsNothing() {
    StallTrace pauses = new StallTrace();
    pauses.addPause("all", 1000, 1150);
    assertFalse(pauses.explains(timeViolation(0, 2000, 1)));
    pauses.addPause("all", 3000, 3500);
    assertTrue(pauses.explains(timeViolation(2900, 3600, 350)));
    assertFalse(pauses.explains(timeViolation(2900, 3600, 351)));
    assertFalse(pauses.explains(timeViolation(3400, 3600, 1)), "only 0.1 s of the pause counts");
  }

  /** A request that is open at a SIGKILL is lost, unless a party was stalled for 0.15 s since the SIGTERM. */
  @Test
  void aRequestThatIsOpenAtASigkillIsLost() {
    Request request = new Request("1a", Kind.READ, DEADLINE_MS);
    request.recordSent(1900);
    request.recordAttempt(new Attempt(1910, "cache", 290));
    request.recordConnectionEnd(2001);
    List<Checks.Kill> kills = List.of(new Checks.Kill(1000, 2000));
    List<Violation> violations = Checks.findViolations(List.of(request), Map.of(), kills);
    assertEquals(List.of(Check.NOT_LOST), violations.stream().map(Violation::check).toList());
    StallTrace machineStalls = new StallTrace();
    machineStalls.add("n0-0.log", 500, 1000, 500);
    machineStalls.add("n0-0.log", 1000, 1500, 149);
    assertFalse(machineStalls.explains(violations.get(0)));
    machineStalls.add("n0-0.log", 1500, 1600, 1);
    assertTrue(machineStalls.explains(violations.get(0)));
  }

  private static Outcome outcome(Violation violation, StallTrace pauses, RunClock clock) {
    return Outcome.of(SoakPlan.of(1), List.of(violation), pauses, clock, 1, 0);
  }

  /** Only machine stalls make a run void; a pause by the harness excuses exceeded time limits but no loss. */
  @Test
  void aRunIsVoidOnlyIfMachineStallsExplainEachViolation() {
    RunClock clock = new RunClock();
    clock.stop();
    Violation late = timeViolation(10_900, 11_200, 40);
    Violation lost = new Violation(Check.NOT_LOST, 10_000, 11_000, Bounds.MAX_PAUSE_MS, "1a", "");
    StallTrace pauses = new StallTrace();
    assertEquals(Verdict.BROKEN, outcome(late, pauses, clock).verdict());
    pauses.addPause("all", 10_000, 11_000);
    pauses.addPause("all", 11_000, 11_200);
    assertEquals(Verdict.KEPT, outcome(late, pauses, clock).verdict());
    assertEquals(1, outcome(late, pauses, clock).excused());
    assertEquals(Verdict.BROKEN, outcome(lost, pauses, clock).verdict());
    clock.machineStalls().add("harness", 10_500, 10_900, Bounds.MAX_PAUSE_MS);
    assertEquals(Verdict.VOID, outcome(lost, pauses, clock).verdict());
  }

  /** The client has to send a request again that was not read before the connection closed. */
  @Test
  void aRequestThatWasNeverForwardedMayStayUnansweredAtAClose() {
    assertEquals(List.of(), violatedRules(Kind.READ, request -> request.recordConnectionEnd(1020)));
  }

  @Test
  void aSeedDeterminesTheWholePlan() {
    for (long seed = 0; seed < 50; seed++) {
      assertEquals(SoakPlan.of(seed), SoakPlan.of(seed));
    }
    for (SoakPlan.Series series : SoakPlan.Series.values()) {
      assertTrue(LongStream.range(0, 50).anyMatch(s -> SoakPlan.of(s).series() == series),
          series + " is in the plan of none of 50 seeds");
    }
  }

  @Test
  void badArgumentsExitWithCode2() {
    for (String[] bad : new String[][] {{"--seeds", "x"}, {"--seeds", "5-1"}, {"--seeds", "-1"},
        {"--seeds", "1-2-3"},
        {"--parallel", "0"}, {"--inject", "NOTHING"}, {"--unknown"}}) {
      assertEquals(2, new CommandLine(new SoakMain()).execute(bad), String.join(" ", bad));
    }
  }
}

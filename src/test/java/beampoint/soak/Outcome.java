package beampoint.soak;

import beampoint.soak.Violation.Check;
import java.util.List;

/**
 * The result of a run.
 *
 * @param violations the violations that no pause by the harness explains
 * @param excused the number of further violations that such a pause explains
 * @param machineStalls the measured times for which the harness or a process had no processor
 * @param requests the number of requests of the run
 * @param unreadAtClose the number of requests that were not forwarded before their connection closed
 * @param maxOverrunMs the longest overrun of a sleep of the harness
 * @param durationMs the duration of the run
 */
record Outcome(SoakPlan plan, List<Violation> violations, int excused, StallTrace machineStalls, int requests,
    int unreadAtClose, double maxOverrunMs, double durationMs) {

  /** The verdict on a run; void if each violation is one of a time limit and explained by a machine stall. */
  enum Verdict {
    KEPT, BROKEN, VOID
  }

  /**
   * Excuses the violations that a pause by the harness explains beyond the pause that processes have to
   * tolerate. A pause excuses no lost request, since SIGKILL is already delayed by the pause.
   */
  static Outcome of(SoakPlan plan, List<Violation> found, StallTrace pauses, RunClock clock, int requests,
      int unreadAtClose) {
    List<Violation> violations = found.stream()
        .filter(violation -> violation.check() == Check.NOT_LOST || !pauses.explains(violation)).toList();
    return new Outcome(plan, violations, found.size() - violations.size(), clock.machineStalls(), requests,
        unreadAtClose, clock.maxOverrunMs(), clock.now());
  }

  Verdict verdict() {
    if (violations.isEmpty()) {
      return Verdict.KEPT;
    }
    return violations.stream().allMatch(machineStalls::explains) ? Verdict.VOID : Verdict.BROKEN;
  }
}

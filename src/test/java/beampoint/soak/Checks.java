package beampoint.soak;

import beampoint.soak.Request.Attempt;
import beampoint.soak.Request.Kind;
import beampoint.soak.Violation.Check;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Checks the recorded requests against the operators' rules. */
final class Checks {

  /** A process that got SIGTERM and, at the earliest time allowed, SIGKILL; both times in ms of the run. */
  record Kill(double sigtermAt, double sigkillAt) {}

  private Checks() {}

  /**
   * Checks all requests. {@code drainKnownAt} has, for each node that drains, the time by which every process
   * has received the drain, in ms of the run.
   */
  static List<Violation> findViolations(Collection<Request> requests, Map<String, Double> drainKnownAt,
      List<Kill> kills) {
    List<Violation> violations = new ArrayList<>();
    for (Request request : requests) {
      checkAnswer(request, kills, violations);
      checkEffects(request, violations);
      for (Attempt attempt : request.attempts()) {
        checkAttempt(request, attempt, drainKnownAt, violations);
      }
    }
    return violations;
  }

  private static void checkAnswer(Request request, List<Kill> kills, List<Violation> violations) {
    if (request.answers() > 1 || request.hasWrongAnswer()) {
      violations.add(new Violation(Check.ONE_ANSWER, request.answeredAt(), request.id,
          request.answers() + " answers" + (request.hasWrongAnswer() ? ", one not made for it" : "")));
    }
    if (request.answers() == 0 && !request.hasClientClosed() && request.isForwarded()) {
      violations.add(lost(request, kills));
    }
    boolean isCutOff = !Double.isNaN(request.slowReplyDueAt()) && request.answers() > 0
        && !request.isServed() && !request.hasClientClosed();
    if (isCutOff) {
      violations.add(new Violation(Check.NOT_CUT_OFF, request.sentAt(), request.answeredAt(),
          request.sentAt() + request.deadlineMs - request.slowReplyDueAt(), request.id,
          "not served, though a reply had begun that was to end "
              + ms(request.sentAt() + request.deadlineMs - request.slowReplyDueAt())
              + " before its deadline"));
    }
    double latestAnswerAt =
        Math.max(request.sentAt() + request.deadlineMs + Bounds.ANSWER_GRACE_MS, request.readingSince());
    if (request.answers() > 0 && request.answeredAt() > latestAnswerAt) {
      violations.add(new Violation(Check.ANSWER_IN_TIME, request.sentAt(), request.answeredAt(),
          request.answeredAt() - latestAnswerAt, request.id,
          "answered " + ms(request.answeredAt() - latestAnswerAt + Bounds.ANSWER_GRACE_MS)
              + " after its time of " + ms(request.deadlineMs)));
    }
  }

  private static Violation lost(Request request, List<Kill> kills) {
    for (Kill kill : kills) {
      if (request.sentAt() <= kill.sigkillAt() && request.connectionEndedAt() >= kill.sigkillAt()) {
        return lostBySigkill(request, kill);
      }
    }
    return new Violation(Check.NOT_LOST, request.connectionEndedAt(), request.id,
        "forwarded, and its connection ended with no answer; sent at " + ms(request.sentAt()));
  }

  /**
   * A request that is unanswered at a SIGKILL. It is excused if the process was stalled between the two
   * signals for longer than the pause that it has to tolerate, as it could then not finish the request.
   */
  static Violation lostBySigkill(Request request, Kill kill) {
    return new Violation(Check.NOT_LOST, kill.sigtermAt(), kill.sigkillAt(), Bounds.MAX_PAUSE_MS, request.id,
        "sent at " + ms(request.sentAt()) + " and found unanswered by SIGKILL, SIGTERM at "
            + ms(kill.sigtermAt()));
  }

  private static void checkEffects(Request request, List<Violation> violations) {
    if (request.kind != Kind.READ && request.effects() > 1) {
      violations.add(new Violation(Check.EFFECT_ONCE, request.attempts().get(0).at(), request.id,
          request.effects() + " effects of a " + request.kind + " write"));
    }
  }

  private static void checkAttempt(Request request, Attempt attempt, Map<String, Double> drainKnownAt,
      List<Violation> violations) {
    double excessMs = attempt.at() - request.clientClosedAt() - Bounds.CANCEL_TOLERANCE_MS;
    if (excessMs > 0) {
      violations.add(new Violation(Check.NOT_AFTER_LEAVING, request.clientClosedAt(), attempt.at(), excessMs,
          request.id, "sent to " + attempt.peer() + " " + ms(attempt.at() - request.clientClosedAt())
              + " after its client's close"));
    }
    double remaining = request.sentAt() + request.deadlineMs - attempt.at();
    excessMs = attempt.deadlineMs() - remaining - Bounds.DEADLINE_TOLERANCE_MS;
    if (excessMs > 0) {
      violations.add(new Violation(Check.TIME_TOLD, request.sentAt(), attempt.at(), excessMs, request.id,
          attempt.peer() + " was told " + ms(attempt.deadlineMs()) + ", left were " + ms(remaining)));
    }
    double drainKnown = drainKnownAt.getOrDefault(attempt.peer(), Double.POSITIVE_INFINITY);
    excessMs = attempt.at() - drainKnown - Bounds.DRAIN_GRACE_MS - Bounds.TIMEOUT_TOLERANCE_MS;
    if (excessMs > 0) {
      violations.add(new Violation(Check.DRAIN, drainKnown, attempt.at(), excessMs, request.id,
          "sent to " + attempt.peer() + " " + ms(attempt.at() - drainKnown) + " after its drain was told"));
    }
  }

  private static String ms(double value) {
    return String.format(Locale.ROOT, "%.0f ms", value);
  }
}

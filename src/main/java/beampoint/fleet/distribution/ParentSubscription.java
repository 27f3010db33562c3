package beampoint.fleet.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A member's subscription to its parent. The parent is the most preferred candidate that has not failed
 * recently. Each subscription has a session number, so that late messages of an earlier parent are not taken
 * for messages of the current one.
 */
final class ParentSubscription {

  private static final Parent NONE = new Parent("", false);

  private final DistributionSettings settings;
  private final Map<String, Double> failedUntil = new HashMap<>();
  private List<Parent> candidates = List.of();
  private Parent parent = NONE;
  private long session;
  private double lastHeardAt;
  private double sourceHeardAt;

  /**
   * Creates a subscription without a parent.
   *
   * @param firstSession a number above the sessions of earlier processes of the member
   */
  ParentSubscription(DistributionSettings settings, long firstSession, double now) {
    this.settings = settings;
    this.session = firstSession;
    this.lastHeardAt = now;
    this.sourceHeardAt = now;
  }

  /** The name of the parent; empty if there is none. */
  String name() {
    return parent.name();
  }

  /** Whether the parent is a control machine. */
  boolean isControl() {
    return parent.isControl();
  }

  long session() {
    return session;
  }

  /** Whether a message comes from the current parent and belongs to the current session. */
  boolean isCurrent(String name, long ofSession) {
    return name.equals(parent.name()) && ofSession == session;
  }

  void setCandidates(List<Parent> parents) {
    candidates = List.copyOf(parents);
    failedUntil.keySet().retainAll(candidates.stream().map(Parent::name).toList());
  }

  List<Parent> candidates() {
    return candidates;
  }

  /** Chooses a parent and returns whether it differs from the previous one. */
  boolean choose(double now) {
    if (parent != NONE && isTimedOut(now)) {
      markFailed(now);
    }
    Parent best = best(now);
    if (best.equals(parent)) {
      return false;
    }
    parent = best;
    session++;
    lastHeardAt = now;
    sourceHeardAt = now;
    return true;
  }

  private boolean isTimedOut(double now) {
    return now - lastHeardAt > settings.parentTimeout() || now - sourceHeardAt > settings.sourceTimeout();
  }

  /** Excludes the current parent for a time, because it timed out or refused the subscription. */
  void markFailed(double now) {
    failedUntil.put(parent.name(), now + settings.parentRetryDelay());
  }

  /** The first candidate that has not failed; if all have, the one whose failure is the oldest. */
  private Parent best(double now) {
    Parent oldest = NONE;
    double oldestUntil = Double.POSITIVE_INFINITY;
    for (Parent candidate : candidates) {
      double until = failedUntil.getOrDefault(candidate.name(), Double.NEGATIVE_INFINITY);
      if (until <= now) {
        return candidate;
      }
      if (until < oldestUntil) {
        oldest = candidate;
        oldestUntil = until;
      }
    }
    return oldest;
  }

  /**
   * Records a batch of the parent.
   *
   * @param sourceAge the age of the parent's latest information from the leader
   */
  void heard(double now, double sourceAge) {
    lastHeardAt = now;
    sourceHeardAt = Math.max(sourceHeardAt, now - sourceAge);
  }

  /** The age of the latest information from the leader, as far as known. */
  double sourceAge(double now) {
    return now - sourceHeardAt;
  }
}

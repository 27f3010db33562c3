package beampoint.fleet.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A member's subscription to its parent. The parent is the best of those it may have that did not fail of
 * late; a session numbers each subscription, so that what an earlier parent says later is not taken for the
 * present one's.
 */
final class ParentLink {

  private static final Parent NONE = new Parent("", false);

  private final DistributionSettings terms;
  private final Map<String, Double> failedUntil = new HashMap<>();
  private List<Parent> candidates = List.of();
  private Parent parent = NONE;
  private long session;
  private double heardAt;
  private double sourceHeardAt;

  /** A link without a parent; sessions begin above those of the member's earlier lives. */
  ParentLink(DistributionSettings terms, long firstSession, double now) {
    this.terms = terms;
    this.session = firstSession;
    this.heardAt = now;
    this.sourceHeardAt = now;
  }

  /** Empty for none. */
  String parent() {
    return parent.name();
  }

  /** True where its changes come from a control machine at first hand. */
  boolean isFedByControl() {
    return parent.isControl();
  }

  long session() {
    return session;
  }

  boolean isFrom(String name, long ofSession) {
    return name.equals(parent.name()) && ofSession == session;
  }

  void candidates(List<Parent> parents) {
    candidates = List.copyOf(parents);
    failedUntil.keySet().retainAll(candidates.stream().map(Parent::name).toList());
  }

  List<Parent> candidates() {
    return candidates;
  }

  /** Chooses a parent; true where it is another than before. */
  boolean choose(double now) {
    if (parent != NONE && isSilent(now)) {
      failed(now);
    }
    Parent best = best(now);
    if (best.equals(parent)) {
      return false;
    }
    parent = best;
    session++;
    heardAt = now;
    sourceHeardAt = now;
    return true;
  }

  private boolean isSilent(double now) {
    return now - heardAt > terms.parentTimeout() || now - sourceHeardAt > terms.sourceTimeout();
  }

  /** The parent gave no sign of life, or refused. */
  void failed(double now) {
    failedUntil.put(parent.name(), now + terms.parentRetryDelay());
  }

  /** The first that did not fail; where all did, the one whose failure is the oldest. */
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

  void heard(double now, double sourceAge) {
    heardAt = now;
    sourceHeardAt = Math.max(sourceHeardAt, now - sourceAge);
  }

  /** How long ago anything came down from the leader, as far as is known. */
  double sourceAge(double now) {
    return now - sourceHeardAt;
  }
}

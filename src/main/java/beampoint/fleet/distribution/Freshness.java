package beampoint.fleet.distribution;

/**
 * A proxy's lease of freshness. It runs by the proxy's own clock from when it sent a report of which the
 * leader is known to have heard, shortened by the drift; the leader counts from when it heard, and longer. So
 * whoever the leader counts as fenced knows before that it is not fresh. After a lapse a proxy is fresh again
 * once it has caught up with what was committed meanwhile.
 */
final class Freshness {

  private final double length;
  private double until = Double.NEGATIVE_INFINITY;
  private long mustApply = Long.MAX_VALUE; // before it is fresh again
  private long lapses;
  private boolean wasFresh;

  Freshness(DistributionSettings terms) {
    this.length = terms.heldLease();
  }

  /** The leader has heard of a report that was sent then. */
  void renew(double now, double sentAt, long head) {
    boolean lapsed = now >= until;
    if (sentAt + length <= now) {
      return;
    }
    if (lapsed) {
      mustApply = head;
    }
    until = Math.max(until, sentAt + length);
  }

  /** What it has applied is worth nothing any longer: another log has taken the place of its own. */
  void revoke() {
    until = Double.NEGATIVE_INFINITY;
  }

  boolean isFresh(double now, long applied) {
    return now < until && applied >= mustApply;
  }

  /** Counts the times that it has lapsed. */
  void observe(double now, long applied) {
    boolean isFresh = isFresh(now, applied);
    if (isFresh) {
      mustApply = 0;
    }
    if (wasFresh && !isFresh) {
      lapses++;
    }
    wasFresh = isFresh;
  }

  long lapses() {
    return lapses;
  }
}

package beampoint.fleet.distribution;

/**
 * A proxy's lease of freshness. It starts, by the proxy's own clock, when the proxy sends a report that is
 * later confirmed to have reached the leader, and its length is shortened by the clock drift. The leader
 * counts from when it receives the report, and adds the drift. A proxy that the leader considers fenced
 * therefore already knows that it is not fresh. After a lapse, a proxy is fresh again once it has applied
 * everything that was committed in the meantime.
 */
final class FreshnessLease {

  private final double length;
  private double expiresAt = Double.NEGATIVE_INFINITY;
  private long requiredIndex = Long.MAX_VALUE; // of the entry to apply before the proxy is fresh again
  private long lapses;
  private boolean wasFresh;

  FreshnessLease(DistributionSettings settings) {
    this.length = settings.proxyLease();
  }

  /**
   * Renews the lease after the leader has received a report.
   *
   * @param sentAt when this proxy sent the report
   * @param head the index of the last entry known to this proxy
   */
  void renew(double now, double sentAt, long head) {
    boolean lapsed = now >= expiresAt;
    if (sentAt + length <= now) {
      return;
    }
    if (lapsed) {
      requiredIndex = head;
    }
    expiresAt = Math.max(expiresAt, sentAt + length);
  }

  /** Ends the lease, because another log has replaced the one whose entries were applied. */
  void revoke() {
    expiresAt = Double.NEGATIVE_INFINITY;
  }

  boolean isFresh(double now, long applied) {
    return now < expiresAt && applied >= requiredIndex;
  }

  /** Updates the count of lapses; to be called after each event. */
  void observe(double now, long applied) {
    boolean isFresh = isFresh(now, applied);
    if (isFresh) {
      requiredIndex = 0;
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

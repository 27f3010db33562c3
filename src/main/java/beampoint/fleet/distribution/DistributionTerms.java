package beampoint.fleet.distribution;

/**
 * The figures of distribution, the same at every member; times in ms.
 *
 * @param batchDelay the least time between two batches to one child: what comes meanwhile goes together
 * @param heartbeatEvery the longest time without a batch to a child
 * @param reportEvery how often a member reports to its parent
 * @param parentSilentAfter without a batch for so long, a parent is replaced
 * @param orphanAfter a parent that has had no parent itself for so long is replaced
 * @param retryParentAfter how long a parent that failed is not tried again
 * @param childSilentAfter without a report for so long, a child is forgotten
 * @param fetchAgainAfter how long an answer to a fetch is waited for
 * @param lease how long a proxy is fresh, from when it sent the report that the leader has seen
 * @param drift the part of a time by which one clock may run faster than another, 0 to under 1
 * @param burst batches that go at once to a child that is behind by more than one
 * @param window entries that may be on their way to one child
 * @param batchBytes about how many bytes of entries go into one batch
 * @param tailEntries entries that a member keeps in full, for its children and for who lacks one
 * @param tailBytes about how many bytes these may have
 * @param aheadEntries entries that wait for one before them
 * @param mostChildren that a member takes
 * @param snapshotGap between two snapshots that a member sends
 */
public record DistributionTerms(double batchDelay, double heartbeatEvery, double reportEvery,
    double parentSilentAfter, double orphanAfter, double retryParentAfter, double childSilentAfter,
    double fetchAgainAfter, double lease, double drift, int burst, int window, int batchBytes,
    int tailEntries, int tailBytes, int aheadEntries, int mostChildren, double snapshotGap) {

  private static final int CONTROL_CHILDREN = 512;

  public DistributionTerms {
    boolean isSound = batchDelay > 0 && heartbeatEvery >= batchDelay && parentSilentAfter > heartbeatEvery
        && reportEvery > 0 && childSilentAfter > reportEvery && fetchAgainAfter > 0 && lease > 0 && drift >= 0
        && drift < 1 && burst > 0 && window > 0 && batchBytes > 0 && tailEntries > 0 && tailBytes > 0
        && aheadEntries > 0
        && mostChildren >= 0 && snapshotGap >= 0;
    if (!isSound) {
      throw new IllegalArgumentException("no terms of distribution");
    }
  }

  /** The figures of a proxy. */
  public static DistributionTerms usual() {
    return new DistributionTerms(200, 400, 300, 900, 6_000, 10_000, 2_000, 300, 2_000, 0.01, 4, 512, 1_100,
        1_024, 256 * 1024, 1_024, 4, 20);
  }

  /** The same for a control machine, which keeps and serves more. */
  public DistributionTerms ofControl() {
    return new DistributionTerms(batchDelay, heartbeatEvery, reportEvery, parentSilentAfter, orphanAfter,
        retryParentAfter, childSilentAfter, fetchAgainAfter, lease, drift, burst, window, batchBytes,
        8 * tailEntries, 16 * tailBytes, aheadEntries, CONTROL_CHILDREN, snapshotGap / 10);
  }

  /** How long a proxy holds itself for fresh, by its own clock. */
  double heldLease() {
    return lease * (1 - drift);
  }

  /** After how long without word of it the leader counts a proxy as fenced, by the leader's clock. */
  double fencedAfter() {
    return lease * (1 + drift);
  }
}

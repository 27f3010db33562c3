package beampoint.fleet.distribution;

/**
 * The figures of distribution, the same at every member; times in ms.
 *
 * @param minBatchInterval the least time between two batches to one child: what comes meanwhile goes together
 * @param heartbeatInterval the longest time without a batch to a child
 * @param reportInterval how often a member reports to its parent
 * @param parentTimeout without a batch for so long, a parent is replaced
 * @param sourceTimeout a parent that has had no parent itself for so long is replaced
 * @param parentRetryDelay how long a parent that failed is not tried again
 * @param childTimeout without a report for so long, a child is forgotten
 * @param fetchTimeout how long an answer to a fetch is waited for
 * @param lease how long a proxy is fresh, from when it sent the report that the leader has seen
 * @param drift the part of a time by which one clock may run faster than another, 0 to under 1
 * @param burst batches that go at once to a child that is behind by more than one
 * @param window entries that may be on their way to one child
 * @param batchBytes about how many bytes of entries go into one batch
 * @param tailEntries entries that a member keeps in full, for its children and for who lacks one
 * @param tailBytes about how many bytes these may have
 * @param maxOutOfOrderEntries entries that wait for one before them
 * @param maxChildren that a member takes
 * @param snapshotInterval between two snapshots that a member sends
 */
public record DistributionSettings(double minBatchInterval, double heartbeatInterval, double reportInterval,
    double parentTimeout, double sourceTimeout, double parentRetryDelay, double childTimeout,
    double fetchTimeout, double lease, double drift, int burst, int window, int batchBytes,
    int tailEntries, int tailBytes, int maxOutOfOrderEntries, int maxChildren, double snapshotInterval) {

  private static final int CONTROL_CHILDREN = 512;

  public DistributionSettings {
    boolean isSound = minBatchInterval > 0 && heartbeatInterval >= minBatchInterval
        && parentTimeout > heartbeatInterval && reportInterval > 0 && childTimeout > reportInterval
        && fetchTimeout > 0 && lease > 0 && drift >= 0 && drift < 1 && burst > 0 && window > 0
        && batchBytes > 0 && tailEntries > 0 && tailBytes > 0 && maxOutOfOrderEntries > 0 && maxChildren >= 0 && snapshotInterval >= 0;
    if (!isSound) {
      throw new IllegalArgumentException("no terms of distribution");
    }
  }

  /** The figures of a proxy. */
  public static DistributionSettings defaults() {
    return new DistributionSettings(200, 400, 300, 900, 6_000, 10_000, 2_000, 300, 2_000, 0.01, 4, 512, 1_100,
        1_024, 256 * 1024, 1_024, 4, 20);
  }

  /** The same for a control machine, which keeps and serves more. */
  public DistributionSettings forControlMachine() {
    return new DistributionSettings(minBatchInterval, heartbeatInterval, reportInterval, parentTimeout,
        sourceTimeout, parentRetryDelay, childTimeout, fetchTimeout, lease, drift, burst, window, batchBytes,
        8 * tailEntries, 16 * tailBytes, maxOutOfOrderEntries, CONTROL_CHILDREN, snapshotInterval / 10);
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

package beampoint.fleet.distribution;

/**
 * The parameters of the distribution tree, which must be the same at all proxies, and the same at all control
 * machines. All times are in ms.
 *
 * @param minBatchInterval the shortest time between two batches to one child; entries that arrive in between
 *     are sent together
 * @param heartbeatInterval the longest time without a batch to a child
 * @param reportInterval the interval between reports to the parent
 * @param parentTimeout a parent that has sent no batch for this time is replaced
 * @param sourceTimeout a parent whose latest information from the leader is older than this is replaced
 * @param parentRetryDelay how long a parent that failed is not tried again
 * @param childTimeout a child that has sent no report for this time is removed
 * @param fetchTimeout how long to wait for the answer to a fetch
 * @param freshnessLease how long a proxy counts as fresh after it sent a report that reached the leader
 * @param drift the fraction by which one clock may run faster than another, from 0 to below 1
 * @param burst the number of batches sent at once to a child that lacks more than one
 * @param window the maximum number of entries that are in flight to one child
 * @param batchBytes the approximate maximum size of the entries in one batch, in bytes
 * @param tailEntries the number of entries that a member keeps in full for its children and for fetches
 * @param tailBytes the approximate maximum size of these entries, in bytes
 * @param maxOutOfOrderEntries how far ahead of the last applied entry a received entry may be and still be
 *     held back until its predecessors arrive
 * @param maxChildren the maximum number of children of a member
 * @param snapshotInterval the mean time between two snapshots that a member sends
 */
public record DistributionSettings(double minBatchInterval, double heartbeatInterval, double reportInterval,
    double parentTimeout, double sourceTimeout, double parentRetryDelay, double childTimeout,
    double fetchTimeout, double freshnessLease, double drift, int burst, int window, int batchBytes,
    int tailEntries, int tailBytes, int maxOutOfOrderEntries, int maxChildren, double snapshotInterval) {

  private static final int MAX_CHILDREN_OF_CONTROL_MACHINE = 512;

  public DistributionSettings {
    boolean isValid = minBatchInterval > 0 && heartbeatInterval >= minBatchInterval
        && parentTimeout > heartbeatInterval && reportInterval > 0 && childTimeout > reportInterval
        && fetchTimeout > 0 && freshnessLease > 0 && drift >= 0 && drift < 1 && burst > 0 && window > 0
        && batchBytes > 0 && tailEntries > 0 && tailBytes > 0 && maxOutOfOrderEntries > 0 && maxChildren >= 0
        && snapshotInterval >= 0;
    if (!isValid) {
      throw new IllegalArgumentException("invalid distribution settings");
    }
  }

  /** The default parameters of a proxy. */
  public static DistributionSettings defaults() {
    return new DistributionSettings(200, 400, 300, 900, 6_000, 10_000, 2_000, 300, 2_000, 0.01, 4, 512, 1_100,
        1_024, 256 * 1024, 1_024, 4, 20);
  }

  /** The same parameters for a control machine, which has more children, a longer tail and more snapshots. */
  public DistributionSettings forControlMachine() {
    return new DistributionSettings(minBatchInterval, heartbeatInterval, reportInterval, parentTimeout,
        sourceTimeout, parentRetryDelay, childTimeout, fetchTimeout, freshnessLease, drift, burst, window,
        batchBytes,
        8 * tailEntries, 16 * tailBytes, maxOutOfOrderEntries, MAX_CHILDREN_OF_CONTROL_MACHINE,
        snapshotInterval / 10);
  }

  /** How long a proxy considers itself fresh, by its own clock. */
  double proxyLease() {
    return freshnessLease * (1 - drift);
  }

  /** The time without a report after which the leader considers a proxy fenced, by the leader's clock. */
  double fencingTimeout() {
    return freshnessLease * (1 + drift);
  }
}

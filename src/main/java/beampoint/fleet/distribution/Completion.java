package beampoint.fleet.distribution;

import java.util.List;

/**
 * The progress of one change across the fleet, as known to the leader. The lists of names are cut off after a
 * maximum length.
 *
 * @param expected the number of proxies that are expected to apply the change
 * @param applied the number of proxies that have applied it
 * @param missing proxies that have not applied it and may still serve without it
 * @param missingCount the number of all such proxies
 * @param fenced proxies that have not applied it and know that they are not fresh
 * @param fencedCount the number of all such proxies
 * @param refused proxies that refused the change as invalid and kept the previous state
 */
public record Completion(long index, int expected, int applied, List<String> missing, int missingCount,
    List<String> fenced, int fencedCount, List<String> refused) {

  /** Whether every expected proxy has applied the change. */
  public boolean isDoneEverywhere() {
    return applied == expected;
  }

  /**
   * Whether every expected proxy has applied the change or is fenced; a fenced proxy does not count as done.
   */
  public boolean isDoneOrFenced() {
    return applied + fencedCount == expected;
  }
}

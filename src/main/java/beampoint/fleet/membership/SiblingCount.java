package beampoint.fleet.membership;

/**
 * The number of siblings: proxies, including this one, that share the load. Derived from the live members.
 * With a number that is too low, each proxy would send a cold cache more than its share. So the number is
 * lowered only after a settling time and raised at once, and a member whose view may be wrong uses the
 * configured number.
 */
public final class SiblingCount {

  private final int configured;
  private final double settleTime;
  private int current;
  private int pending; // the lower number that waits for the settling time, from pendingSince on
  private double pendingSince = Double.POSITIVE_INFINITY;

  /**
   * Starts with the configured number.
   *
   * @param configured at least 1
   * @param settleTime the time in ms for which a lower number has to be observed before it is used
   */
  public SiblingCount(int configured, double settleTime) {
    this.configured = configured;
    this.settleTime = settleTime;
    this.current = configured;
  }

  /**
   * Updates and returns the number.
   *
   * @param live the number of live members in this member's view, including itself
   * @param mayBeIsolated whether the view may be wrong
   */
  public int update(double now, int live, boolean mayBeIsolated) {
    boolean isMinority = 2 * live <= configured;
    int observed = mayBeIsolated || isMinority ? configured : live;
    if (observed >= current) {
      current = observed;
      pendingSince = Double.POSITIVE_INFINITY;
    } else if (pendingSince == Double.POSITIVE_INFINITY || observed > pending) {
      // The highest number observed during the settling time counts: members that come and go are included.
      pendingSince = pendingSince == Double.POSITIVE_INFINITY ? now : pendingSince;
      pending = observed;
    }
    if (now - pendingSince >= settleTime) {
      current = pending;
      pendingSince = Double.POSITIVE_INFINITY;
    }
    return current;
  }
}

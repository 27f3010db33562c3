package beampoint.fleet.membership;

/**
 * How many proxies share the load, by who lives. A number that is too low lets each of them send a cold cache
 * more than its part, so it falls late and rises at once, and a member whose view may be wrong takes the
 * configured one.
 */
public final class Siblings {

  private final int configured;
  private final double wait;
  private int present;
  private int lower; // what it would fall to, since when
  private double since = Double.POSITIVE_INFINITY;

  /**
   * At the start it is the configured number.
   *
   * @param configured at least 1
   * @param wait in ms, for which a lower number has to stand before it holds
   */
  public Siblings(int configured, double wait) {
    this.configured = configured;
    this.wait = wait;
    this.present = configured;
  }

  /** The number that holds now, given how many live in this member's view, itself included. */
  public int number(double now, int living, boolean mayBeIsolated) {
    boolean isMinority = 2 * living <= configured;
    int seen = mayBeIsolated || isMinority ? configured : living;
    if (seen >= present) {
      present = seen;
      since = Double.POSITIVE_INFINITY;
    } else if (since == Double.POSITIVE_INFINITY || seen > lower) {
      // The highest seen meanwhile counts: who comes and goes is there.
      since = since == Double.POSITIVE_INFINITY ? now : since;
      lower = seen;
    }
    if (now - since >= wait) {
      present = lower;
      since = Double.POSITIVE_INFINITY;
    }
    return present;
  }
}

package beampoint.fleet.changes;

import java.util.SortedSet;

/**
 * The parameters of a log, which must be the same at all voters.
 *
 * @param voters the names of all control machines that vote, at least three
 * @param retryInterval time in ms after which an unanswered message is sent again; also the interval of
 *     heartbeats
 * @param limits the limits on what a replica holds and sends
 */
public record LogSettings(SortedSet<String> voters, double retryInterval, LogLimits limits) {

  private static final int MIN_VOTERS = 3;

  public LogSettings {
    if (voters.size() < MIN_VOTERS || !(retryInterval > 0)) {
      throw new IllegalArgumentException(
          "invalid log settings: voters " + voters + ", retry interval " + retryInterval);
    }
  }

  /** The smallest number of voters that is more than half. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}

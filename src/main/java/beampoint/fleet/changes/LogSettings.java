package beampoint.fleet.changes;

import java.util.SortedSet;

/**
 * What all voters of a log have agreed on in their configuration.
 *
 * @param voters the names of all control machines that vote, three or more
 * @param retryInterval time in ms after which an unanswered message is sent again; also the interval of
 *     heartbeats
 * @param limits what may be held and sent
 */
public record LogSettings(SortedSet<String> voters, double retryInterval, LogLimits limits) {

  private static final int MIN_VOTERS = 3;

  public LogSettings {
    if (voters.size() < MIN_VOTERS || !(retryInterval > 0)) {
      throw new IllegalArgumentException("no terms of a log: " + voters + ", " + retryInterval);
    }
  }

  /** How many voters are more than half. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}

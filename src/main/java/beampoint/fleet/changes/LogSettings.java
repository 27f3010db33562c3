package beampoint.fleet.changes;

import java.util.SortedSet;

/**
 * What all voters of a log have agreed on in their configuration.
 *
 * @param voters the names of all control machines that vote, three or more
 * @param retryAfter after how many ms without an answer a message is sent again; also the pace of heartbeats
 * @param limits what may be held and sent
 */
public record LogSettings(SortedSet<String> voters, double retryAfter, LogLimits limits) {

  private static final int FEWEST_VOTERS = 3;

  public LogSettings {
    if (voters.size() < FEWEST_VOTERS || !(retryAfter > 0)) {
      throw new IllegalArgumentException("no terms of a log: " + voters + ", " + retryAfter);
    }
  }

  /** How many voters are more than half. */
  public int majority() {
    return voters.size() / 2 + 1;
  }
}

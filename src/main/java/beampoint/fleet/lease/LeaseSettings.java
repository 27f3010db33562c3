package beampoint.fleet.lease;

import java.util.SortedSet;

/**
 * What all voters have agreed on in their configuration.
 *
 * @param voters the names of all who may promise, and be promised
 * @param length of a lease, in ms by the clock of whoever counts it
 * @param drift the part of a length by which one clock may run faster than another, 0 to under 1
 */
public record LeaseSettings(SortedSet<String> voters, double length, double drift) {

  public LeaseSettings {
    if (voters.isEmpty() || !(length > 0) || !(drift >= 0 && drift < 1)) {
      throw new IllegalArgumentException("no terms of a lease: " + voters + ", " + length + ", " + drift);
    }
  }

  /** How many voters are more than half. */
  public int majority() {
    return voters.size() / 2 + 1;
  }

  /** How long one who was promised may act, from when it asked, by its own clock. */
  public double held() {
    return length * (1 - drift);
  }
}

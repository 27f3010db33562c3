package beampoint.fleet.lease;

import java.util.SortedSet;

/**
 * The parameters of the lease, which must be the same at all voters.
 *
 * @param voters the names of all members that may grant and hold the lease
 * @param length the duration of a lease in ms, by the clock of the voter that measures it
 * @param drift the fraction of the length by which one clock may run faster than another, from 0 to below 1
 */
public record LeaseSettings(SortedSet<String> voters, double length, double drift) {

  public LeaseSettings {
    if (voters.isEmpty() || !(length > 0) || !(drift >= 0 && drift < 1)) {
      throw new IllegalArgumentException(
          "invalid lease settings: voters " + voters + ", length " + length + ", drift " + drift);
    }
  }

  /** The smallest number of voters that is more than half. */
  public int majority() {
    return voters.size() / 2 + 1;
  }

  /** How long a holder may use the lease, in ms from its request by its own clock. */
  public double holdTime() {
    return length * (1 - drift);
  }
}

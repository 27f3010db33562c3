package beampoint.fleet.membership;

/**
 * The figures of membership, the same at every member; times in ms.
 *
 * @param tickInterval how often a member acts by itself
 * @param probeEvery how often it probes: its successor and one drawn by turns
 * @param answerWithin how long it waits for a direct answer before it asks others to try
 * @param suspectFor how long a member is suspected, at the least, before it is declared dead
 * @param stillAfter a pause between two of its own events after which it stood still
 * @param deafAfter how long it may hear nobody before it holds itself for deaf
 * @param failuresOfDoubt probes in a row without one answer after which it doubts itself
 * @param mostMembers that it keeps in its table, those that are gone included
 */
public record MembershipSettings(double tickInterval, double probeEvery, double answerWithin, double suspectFor,
    double stillAfter, double deafAfter, int failuresOfDoubt, int mostMembers) {

  /** The same without suspicion and own doubt, to compare with: who gives no answer is dead at once. */
  public MembershipSettings withoutSuspicion() {
    double never = Double.POSITIVE_INFINITY;
    return new MembershipSettings(tickInterval, probeEvery, answerWithin, 0, never, never, Integer.MAX_VALUE, mostMembers);
  }

  /** Sized for a fleet of 2,300, with room for members that came back under new names. */
  private static final int MAX_MEMBERS = 4_096;

  /** A pause of 3 s is outlived, a crash known within 5 s. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(100, 400, 150, 3_400, 500, 1_200, 8, MAX_MEMBERS);
  }
}

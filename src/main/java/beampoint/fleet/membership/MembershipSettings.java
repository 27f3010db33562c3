package beampoint.fleet.membership;

/**
 * The parameters of the membership protocol, which must be the same at every member. All times are in ms.
 *
 * @param tickInterval the interval between two ticks of the state machine
 * @param probeInterval the interval at which a member probes its successor and one other member
 * @param directProbeTimeout how long a member waits for a direct answer before it requests relayed probes
 * @param minSuspicionTime the shortest time for which a member is suspected before it is declared dead
 * @param pauseThreshold the time between two events above which the process is considered to have been paused
 * @param receiveTimeout how long a member may receive no message before it announces that it receives none
 * @param isolationProbeFailures failed probes in a row after which a member considers itself possibly
 *     isolated
 * @param maxMembers the capacity of the member table, including members that are dead or have left
 */
public record MembershipSettings(double tickInterval, double probeInterval, double directProbeTimeout,
    double minSuspicionTime,
    double pauseThreshold, double receiveTimeout, int isolationProbeFailures, int maxMembers) {

  /**
   * The same parameters with suspicion and the detection of isolation and pauses disabled, for comparison: a
   * member that does not answer is declared dead at once.
   */
  public MembershipSettings withoutSuspicion() {
    double never = Double.POSITIVE_INFINITY;
    return new MembershipSettings(tickInterval, probeInterval, directProbeTimeout, 0, never, never,
        Integer.MAX_VALUE, maxMembers);
  }

  /** Sized for a fleet of 2,300 members, with room for members that return under new names. */
  private static final int MAX_MEMBERS = 4_096;

  /** The default parameters: a member survives a pause of 3 s, and a crash is detected within 5 s. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(100, 400, 150, 3_400, 500, 1_200, 8, MAX_MEMBERS);
  }
}

package beampoint.fleet.message;

/**
 * The reported state of one member.
 *
 * @param member the name of the member
 * @param address the address of the member, as {@code host:port}
 * @param status whether the member is alive, suspected, dead or has left
 * @param incarnation a number that only the member itself raises, to refute reports of others
 * @param notReceiving whether the member has announced that it receives no messages: it is alive although it
 *     answers no probe
 * @param reporter the member that reports this state: the member itself, a member that suspects it, or a
 *     member that declared it dead
 */
public record MemberState(String member, String address, Status status, long incarnation,
    boolean notReceiving, String reporter) {

  /**
   * True if this state takes precedence over another one of the same member (SWIM, section 4.2): it has a
   * higher incarnation, or the same incarnation and a later status in the order of {@link Status}.
   */
  public boolean overrides(MemberState other) {
    return incarnation > other.incarnation
        || incarnation == other.incarnation && precedence() > other.precedence();
  }

  /** The same member with another status, as reported by the given member. */
  public MemberState withStatus(Status newStatus, String newReporter) {
    return new MemberState(member, address, newStatus, incarnation, notReceiving, newReporter);
  }

  private int precedence() {
    return status.ordinal();
  }
}

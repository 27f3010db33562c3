package beampoint.fleet.message;

/**
 * What is said of one member.
 *
 * @param address where it is reached, as {@code host:port}
 * @param incarnation raised by the member alone, to refute what others say of it
 * @param notReceiving it says of itself that it hears nobody: it lives, though it answers no probe
 * @param reporter who found it so: itself, or who accuses it or declared it dead
 */
public record MemberState(String member, String address, Status status, long incarnation, boolean notReceiving, String reporter) {

  /**
   * True where this goes before the other news of the same member (SWIM, section 4.2): what the member says
   * under a higher incarnation, or under one what is worse.
   */
  public boolean overrides(MemberState other) {
    return incarnation > other.incarnation
        || incarnation == other.incarnation && rank() > other.rank();
  }

  /** The same member, as somebody found it. */
  public MemberState as(Status next, String by) {
    return new MemberState(member, address, next, incarnation, notReceiving, by);
  }

  private int rank() {
    return status.ordinal();
  }
}

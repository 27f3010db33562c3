package beampoint.fleet.distribution;

/**
 * The progress of one proxy.
 *
 * @param member its name; empty for the sender of the report
 * @param processNumber the number of its process; a later one has a higher number
 * @param appliedUpTo the index of the last entry that it has applied, with all before it
 * @param refused the index of the last configuration change if the proxy refused it; otherwise 0
 */
public record MemberProgress(String member, long processNumber, long appliedUpTo, long refused) {

  /**
   * The progress of the sender of a report, whose name and process number the receiver knows from the
   * message.
   */
  static MemberProgress ofSender(long appliedUpTo, long refused) {
    return new MemberProgress("", 0, appliedUpTo, refused);
  }

  boolean isOfSender() {
    return member.isEmpty();
  }

  /** Returns the same progress with the name and the process number of its member. */
  MemberProgress withMember(String name, long number) {
    return new MemberProgress(name, number, appliedUpTo, refused);
  }
}

package beampoint.fleet.distribution;

/**
 * How far one proxy is.
 *
 * @param member its name; empty for whoever sends the report
 * @param life of its process; a later one has a higher number
 * @param appliedUpTo the last entry that it has put into force, with all before it
 * @param refused the last change of configuration, where the proxy refused that; else 0
 */
public record MemberProgress(String member, long life, long appliedUpTo, long refused) {

  /** Of the sender of a report: its name and life are known by whoever takes the report. */
  static MemberProgress ofSender(long appliedUpTo, long refused) {
    return new MemberProgress("", 0, appliedUpTo, refused);
  }

  boolean isOfSender() {
    return member.isEmpty();
  }

  /** The same, of a member by its name. */
  MemberProgress of(String name, long itsLife) {
    return new MemberProgress(name, itsLife, appliedUpTo, refused);
  }
}

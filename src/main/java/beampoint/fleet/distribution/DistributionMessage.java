package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import java.util.List;

/**
 * A message between members of the tree. Each message names its log, so that entries of different logs are
 * not mixed.
 */
public sealed interface DistributionMessage {

  /** The id of the log; a log that replaces another has a higher one. */
  long logId();

  /**
   * Creates or renews a child's subscription and reports the progress of the proxies below it.
   *
   * @param session chosen by the child, higher for each subscription
   * @param token the number of this report; the parent echoes it once the leader has received the report
   * @param appliedUpTo the index of the last entry that the child itself has applied, with all before it
   * @param progress the progress of the child and of those members below it that have reported since its last
   *     report
   */
  record Report(long logId, long session, long token, long appliedUpTo, List<MemberProgress> progress)
      implements DistributionMessage {}

  /**
   * Entries for a child, which also serve as a heartbeat; or the reply to a fetch.
   *
   * @param session the session of the child; 0 in the reply to a fetch
   * @param sourceAge the age in ms of the sender's latest information from the leader
   * @param head the index of the last entry that the sender has
   * @param sentUpTo the index of the last entry that the sender has sent to this child, including this batch
   * @param echoes tokens of the child's reports that the leader has received
   * @param entries consecutive entries
   */
  record Batch(long logId, long session, long sourceAge, long head, long sentUpTo, List<Long> echoes,
      List<ChangeEntry> entries) implements DistributionMessage {}

  /** Requests entries from an index on. */
  record Fetch(long logId, long from) implements DistributionMessage {}

  /** The reply to a fetch of entries that the sender no longer has. */
  record SnapshotReply(long logId, ConfigurationSnapshot snapshot) implements DistributionMessage {}

  /** The parent does not accept, or no longer has, the child of a session. */
  record Refusal(long logId, long session) implements DistributionMessage {}

  /** The child has subscribed to another parent. */
  record Unsubscribe(long logId, long session) implements DistributionMessage {}
}

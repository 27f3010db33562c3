package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import java.util.List;

/**
 * What members of the tree say to each other. Each message names the log: entries of another log are not
 * mixed in.
 */
public sealed interface DistributionMessage {

  /** The log's identity; a log that replaces another has a higher one. */
  long log();

  /**
   * A child subscribes, or stays subscribed, and tells how far the proxies below it are.
   *
   * @param session chosen by the child, higher for each subscription
   * @param token numbers the child's reports; the parent repeats it once the leader has seen the report
   * @param appliedUpTo what the child itself needs nothing of any more
   * @param progress of the child and those below it of whom it heard since its last report
   */
  record Report(long log, long session, long token, long appliedUpTo, List<MemberProgress> progress)
      implements DistributionMessage {}

  /**
   * Entries for a child, which are also a heartbeat; or the answer to a fetch.
   *
   * @param session the child's; 0 in the answer to a fetch
   * @param sourceAge how long ago, in ms, the sender heard from its own parent
   * @param head the last entry that the sender has
   * @param sentUpTo the last entry that it has sent to this child, with this batch
   * @param echoes tokens of the child's reports that the leader has seen
   * @param entries consecutive ones
   */
  record Batch(long log, long session, long sourceAge, long head, long sentUpTo, List<Long> echoes,
      List<ChangeEntry> entries) implements DistributionMessage {}

  /** Asks for entries from an index on. */
  record Fetch(long log, long from) implements DistributionMessage {}

  /** Answers a fetch of entries that the sender has no longer. */
  record SnapshotReply(long log, ConfigurationSnapshot snapshot) implements DistributionMessage {}

  /** A parent does not take, or no longer has, the child of a session. */
  record Refusal(long log, long session) implements DistributionMessage {}

  /** A child has found another parent. */
  record Unsubscribe(long log, long session) implements DistributionMessage {}
}

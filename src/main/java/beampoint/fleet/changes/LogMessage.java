package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.LeaseMessage;
import java.util.List;
import java.util.SortedMap;

/** A message between control machines about the change log. */
public sealed interface LogMessage {

  /** A message about the lease of the leader. */
  record LeaseEnvelope(LeaseMessage message) implements LogMessage {}

  /** A new leader's request for a replica's log; the replica then rejects messages of lower epochs. */
  record LogRequest(Epoch epoch) implements LogMessage {}

  /**
   * The answer to {@link LogRequest}.
   *
   * @param epoch the epoch of the request
   * @param foundingEpoch the epoch under which the log was founded, or {@link Epoch#NONE}
   * @param voter false if the replica may have lost entries that it acknowledged
   * @param accepted the epoch of the leader to whose log this replica's log was last made equal
   * @param commit the last index known to be committed
   * @param tail the entries after {@code commit}
   */
  record LogReply(Epoch epoch, Epoch foundingEpoch, long life, boolean voter, Epoch accepted, long commit,
      List<ChangeEntry> tail) implements LogMessage {

    long last() {
      return commit + tail.size();
    }
  }

  /**
   * A leader's entries and its commit index; without entries, it serves as a heartbeat.
   *
   * @param life the life of the receiver, or 0 if the leader does not know it
   * @param founder whether the receiver took part in the founding of the log with this life
   * @param start the last index of the leader's log when it began to lead
   * @param last the last index of the leader's log now
   * @param entries entries without gaps; for a follower that is not known to be in sync, all entries that are
   *     not committed
   */
  record Append(Epoch epoch, Epoch foundingEpoch, long life, boolean founder, long start, long commit,
      long last,
      List<ChangeEntry> entries) implements LogMessage {}

  /**
   * The answer to {@link Append}.
   *
   * @param inSync whether the replica's log equals the leader's up to {@code last}
   * @param voter whether the answer counts towards a majority
   */
  record Accepted(Epoch epoch, long life, boolean inSync, boolean voter, long last, long commit)
      implements LogMessage {}

  /** The rejection of a leader's message, as the replica has promised the higher epoch {@code fence}. */
  record EpochRejected(Epoch fence) implements LogMessage {}

  /**
   * A request for committed entries.
   *
   * @param from the first index that the requesting replica lacks
   * @param snapshotIndex the index of the snapshot of which it has parts, or 0
   * @param part the next part of that snapshot, counted from 0
   */
  record Fetch(Epoch foundingEpoch, long from, long snapshotIndex, int part) implements LogMessage {}

  /** Committed entries, without gaps. */
  record CommittedEntries(Epoch foundingEpoch, List<ChangeEntry> entries) implements LogMessage {}

  /**
   * A part of a snapshot.
   *
   * @param index the index of the last entry that the snapshot covers
   * @param completeFrom the snapshot contains all purges after this index; see {@link Snapshot}
   * @param part the number of the part, counted from 0
   * @param parts the number of parts of the snapshot
   * @param droppedNumbers the dropped numbers of the snapshot in part 0, otherwise empty
   */
  record SnapshotPart(Epoch foundingEpoch, long index, long completeFrom, int part, int parts,
      List<ChangeEntry> entries, SortedMap<String, Long> droppedNumbers) implements LogMessage {}

  /** Asks the other replicas which highest epoch they have promised; sent by a replica that lost its log. */
  record Rejoin(long life) implements LogMessage {}

  /**
   * The answer to {@link Rejoin}.
   *
   * @param life the life of the requesting replica, as in its request
   * @param fence the highest epoch that the answering replica has promised
   */
  record RejoinAnswer(long life, Epoch foundingEpoch, boolean voter, Epoch fence) implements LogMessage {}
}

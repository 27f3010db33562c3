package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.LeaseMessage;
import java.util.List;
import java.util.SortedMap;

/** What control machines say to each other about the change log. */
public sealed interface LogMessage {

  /** About who leads. */
  record LeaseEnvelope(LeaseMessage message) implements LogMessage {}

  /** A new leader asks for what a replica holds, which from then on accepts nothing from older epochs. */
  record Recover(Epoch epoch) implements LogMessage {}

  /**
   * The answer.
   *
   * @param epoch of the leader that asked
   * @param voter false where the replica has lost what it once acknowledged
   * @param accepted the epoch of the leader whose log the tail equals
   * @param commit the last index known to be committed
   * @param tail the entries after that
   */
  record Recovered(Epoch epoch, Epoch identity, long life, boolean voter, Epoch accepted, long commit,
      List<ChangeEntry> tail) implements LogMessage {

    long last() {
      return commit + tail.size();
    }
  }

  /**
   * A leader's entries and its commit index; without entries a heartbeat.
   *
   * @param life of the receiver, as far as the leader knows it, else 0
   * @param founder true where the receiver took part with this life in the founding of the log
   * @param start the last index with which the leader began
   * @param last the last index that it holds now
   * @param entries without gaps; to a follower that is not known to be in step, all that are not committed
   */
  record Append(Epoch epoch, Epoch identity, long life, boolean founder, long start, long commit, long last,
      List<ChangeEntry> entries) implements LogMessage {}

  /**
   * The answer.
   *
   * @param inSync true where the replica's log equals the leader's up to {@code last}
   * @param voter true where this counts towards a majority
   */
  record Accepted(Epoch epoch, long life, boolean inSync, boolean voter, long last, long commit)
      implements LogMessage {}

  /** Accepts nothing, as it has promised a higher epoch. */
  record Refused(Epoch fence) implements LogMessage {}

  /**
   * Asks for committed entries.
   *
   * @param from the first index that the asker lacks
   * @param snapshotIndex the snapshot of which it has parts, or 0
   * @param part the next part of it
   */
  record Fetch(Epoch identity, long from, long snapshotIndex, int part) implements LogMessage {}

  /** Committed entries, without gaps. */
  record Committed(Epoch identity, List<ChangeEntry> entries) implements LogMessage {}

  /**
   * A part of a snapshot.
   *
   * @param part counted from 0
   * @param floors in part 0, else empty
   */
  record SnapshotPart(Epoch identity, long index, long completeFrom, int part, int parts,
      List<ChangeEntry> entries, SortedMap<String, Long> floors) implements LogMessage {}

  /** A replica without memory asks what others have promised since. */
  record Rejoin(long life) implements LogMessage {}

  /**
   * The answer.
   *
   * @param life of the asker, as in its question
   * @param fence the highest epoch that the answering replica has promised
   */
  record RejoinAnswer(long life, Epoch identity, boolean voter, Epoch fence) implements LogMessage {}
}

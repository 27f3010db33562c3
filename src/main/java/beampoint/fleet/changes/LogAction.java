package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import java.util.List;

/** What a replica wants done. */
public sealed interface LogAction {

  /** Send a message to another control machine. */
  record Send(String to, LogMessage message) implements LogAction {}

  /** Answer a submitter, where this replica has its question. */
  record Answer(ChangeId id, SubmitOutcome outcome) implements LogAction {}

  /** These entries are committed; they follow without a gap on what was delivered before. */
  record Deliver(Epoch identity, List<ChangeEntry> entries) implements LogAction {}

  /** Begin anew from this snapshot; it may be one of another log. */
  record Install(Epoch identity, Snapshot snapshot) implements LogAction {}

  /** Give the lease back: this replica can't lead. */
  record RelinquishLease(Problem problem) implements LogAction {}

  /** Why a leader gives up. */
  enum Problem {
    /** A higher epoch was seen. */
    FENCED,
    /** Not enough replicas have answered. */
    NO_QUORUM,
    /** So many replicas have lost their memory that committed entries may be lost: an operator decides. */
    MAJORITY_LOST,
    /** The others are members of a log that this replica does not know yet. */
    OTHER_LOG,
    /** The answers contradict each other, which only a fault of the program explains. */
    CONTRADICTION
  }
}

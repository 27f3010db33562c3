package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import java.util.List;

/** An action that a replica requests from its host. */
public sealed interface LogAction {

  /** Sends a message to another control machine. */
  record Send(String to, LogMessage message) implements LogAction {}

  /** Answers a submitter, if this replica received its submission. */
  record Answer(ChangeId id, SubmitOutcome outcome) implements LogAction {}

  /** Delivers committed entries, which follow the previously delivered ones without a gap. */
  record Deliver(Epoch foundingEpoch, List<ChangeEntry> entries) implements LogAction {}

  /** Replaces everything delivered before by a snapshot, which may belong to another log. */
  record Install(Epoch foundingEpoch, Snapshot snapshot) implements LogAction {}

  /** Relinquishes the lease, as this replica can't lead. */
  record RelinquishLease(Problem problem) implements LogAction {}

  /** Why a leader relinquishes the lease. */
  enum Problem {
    /** A higher epoch was seen. */
    FENCED,
    /** Too few replicas have answered in time. */
    NO_QUORUM,
    /** So many replicas lost their logs that committed entries may be lost; an operator has to decide. */
    MAJORITY_LOST,
    /** Other replicas are members of a log that this replica does not know yet. */
    OTHER_LOG,
    /** The answers contradict each other, which only a defect of the program can cause. */
    CONTRADICTION
  }
}

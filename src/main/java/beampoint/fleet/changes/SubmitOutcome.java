package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/** The result of a submitted change. */
public sealed interface SubmitOutcome {

  /** The change is committed at an index. */
  record Committed(long index) implements SubmitOutcome {}

  /**
   * This replica is not the leader, or no longer is. The change may still be committed, so it has to be
   * submitted again under the same identifier.
   *
   * @param leader the epoch of the leader as far as it is known, or {@link Epoch#NONE}
   */
  record NotLeader(Epoch leader) implements SubmitOutcome {}

  /** The change was rejected. */
  record Refused(Reason reason) implements SubmitOutcome {}

  /** Why a change is rejected. */
  enum Reason {
    /** The queue is full; the change may be submitted again later. */
    QUEUE_FULL,
    /** Its number is so low that the log no longer knows whether the change was committed. */
    TOO_OLD,
    /** The log has reached its maximum number of submitters. */
    TOO_MANY_SUBMITTERS
  }
}

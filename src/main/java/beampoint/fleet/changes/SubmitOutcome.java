package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/** What becomes of a submitted change. */
public sealed interface SubmitOutcome {

  /** It is in the log for good. */
  record Committed(long index) implements SubmitOutcome {}

  /**
   * This replica does not lead, or no longer does. The change may still become committed: submit it again
   * under the same id.
   *
   * @param leader the epoch of the one that leads, as far as it is known, or {@link Epoch#NONE}
   */
  record NotLeader(Epoch leader) implements SubmitOutcome {}

  /** It was not taken. */
  record Refused(Reason reason) implements SubmitOutcome {}

  /** Why a change is refused. */
  enum Reason {
    /** As many changes wait as may; try again later. */
    QUEUE_FULL,
    /** Its number is one of those whose fate the log no longer knows. */
    TOO_OLD,
    /** The log tells no further submitters apart. */
    TOO_MANY_ORIGINS
  }
}

package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/**
 * One entry of the change log.
 *
 * @param index its position: the first entry has index 1, and there are no gaps; 0 stands for the empty log
 * @param epoch the epoch of the leader that first appended it, which later leaders keep
 * @param id the identifier chosen by the submitter of the change
 */
public record ChangeEntry(long index, Epoch epoch, ChangeId id, Change change) {

  private static final int FIXED_BYTES = 64;

  /** Whether this is the same entry: a leader assigns an index to one change only. */
  boolean isSameAs(ChangeEntry other) {
    return index == other.index && epoch.equals(other.epoch);
  }

  /** The approximate size of the entry in bytes, in memory and in a message. */
  int approximateBytes() {
    return FIXED_BYTES + TextLimits.utf8Length(epoch.holder()) + TextLimits.utf8Length(id.submitter())
        + change.contentBytes();
  }
}

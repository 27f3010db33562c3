package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/**
 * One entry of the change log.
 *
 * @param index its place: the first entry has 1, and there are no gaps; 0 stands for the empty log
 * @param epoch the epoch of the leader that appended it first; it never changes, also under later leaders
 * @param id chosen by whoever submitted the change
 */
public record ChangeEntry(long index, Epoch epoch, ChangeId id, Change change) {

  private static final int FIXED_WEIGHT = 64;

  /** True where the other is the same entry: a leader gives one index to one change only. */
  boolean isSameAs(ChangeEntry other) {
    return index == other.index && epoch.equals(other.epoch);
  }

  /** About how many bytes the entry takes, in memory and in a message. */
  int weight() {
    return FIXED_WEIGHT + TextLimits.utf8Length(epoch.holder()) + TextLimits.utf8Length(id.origin())
        + change.weight();
  }
}

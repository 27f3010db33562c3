package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import java.util.TreeMap;

/**
 * The entries that this member has applied: each one once and in the order of the log, although messages may
 * be duplicated or reordered. A bounded number of entries that arrive early is held back until their
 * predecessors arrive.
 */
final class AppliedChanges {

  private final ChangeApplier applier;
  private final ChangeTail tail;
  private final TreeMap<Long, ChangeEntry> outOfOrder = new TreeMap<>();
  private final int maxOutOfOrder;
  private long refusedIndex;
  private long duplicates;

  AppliedChanges(DistributionSettings settings, ChangeApplier applier) {
    this.applier = applier;
    this.tail = new ChangeTail(settings.tailEntries(), settings.tailBytes());
    this.maxOutOfOrder = settings.maxOutOfOrderEntries();
  }

  ChangeTail tail() {
    return tail;
  }

  /** The index of the last applied entry. */
  long appliedUpTo() {
    return tail.last();
  }

  /** The index of the last configuration change if the applier refused it; otherwise 0. */
  long refusedIndex() {
    return refusedIndex;
  }

  /** The number of received entries that had been applied before. */
  long duplicates() {
    return duplicates;
  }

  /** Whether an entry is held back because one before it is missing. */
  boolean hasGap() {
    return !outOfOrder.isEmpty();
  }

  /**
   * Applies an entry if it is the next one, together with those held back for it. Otherwise it is held back,
   * or ignored if it was applied before or is too far ahead.
   */
  void accept(ChangeEntry entry) {
    if (entry.index() <= appliedUpTo()) {
      duplicates++;
    } else if (entry.index() == appliedUpTo() + 1) {
      apply(entry);
      applyOutOfOrder();
    } else if (entry.index() <= appliedUpTo() + maxOutOfOrder) {
      outOfOrder.put(entry.index(), entry);
    }
  }

  private void apply(ChangeEntry entry) {
    recordOutcome(entry, applier.apply(entry));
    tail.append(entry);
  }

  private void recordOutcome(ChangeEntry entry, ChangeApplier.Outcome outcome) {
    if (entry != null && entry.change() instanceof ConfigurationChange) {
      refusedIndex = outcome == ChangeApplier.Outcome.REFUSED ? entry.index() : 0;
    }
  }

  private void applyOutOfOrder() {
    outOfOrder.headMap(appliedUpTo(), true).clear();
    while (!outOfOrder.isEmpty() && outOfOrder.firstKey() == appliedUpTo() + 1) {
      apply(outOfOrder.pollFirstEntry().getValue());
    }
  }

  /** Applies a snapshot if it is ahead of the applied entries; returns whether it was. */
  boolean restore(ConfigurationSnapshot snapshot) {
    if (snapshot.index() <= appliedUpTo()) {
      return false;
    }
    recordOutcome(snapshot.configuration(), applier.restore(snapshot));
    tail.restart(snapshot);
    applyOutOfOrder();
    return true;
  }

  /** Starts again at the empty log, because another log has replaced this one. */
  void reset() {
    outOfOrder.clear();
    tail.restart(ConfigurationSnapshot.EMPTY);
    refusedIndex = 0;
  }
}

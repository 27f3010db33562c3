package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import java.util.TreeMap;

/**
 * What this member has put into force: every entry once and in order, whatever repeats and overtakes on the
 * way. Entries that come too early wait, a bounded number of them.
 */
final class AppliedChanges {

  private final ChangeApplier applier;
  private final ChangeTail tail;
  private final TreeMap<Long, ChangeEntry> ahead = new TreeMap<>();
  private final int mostAhead;
  private long refused;
  private long repeats;

  AppliedChanges(DistributionSettings terms, ChangeApplier applier) {
    this.applier = applier;
    this.tail = new ChangeTail(terms.tailEntries(), terms.tailBytes());
    this.mostAhead = terms.maxOutOfOrderEntries();
  }

  ChangeTail tail() {
    return tail;
  }

  long upTo() {
    return tail.last();
  }

  /** The last change of configuration, where it was refused; else 0. */
  long refused() {
    return refused;
  }

  /** How many entries came that had been applied before. */
  long repeats() {
    return repeats;
  }

  /** True where an entry waits for one that did not come. */
  boolean hasGap() {
    return !ahead.isEmpty();
  }

  void take(ChangeEntry entry) {
    if (entry.index() <= upTo()) {
      repeats++;
    } else if (entry.index() == upTo() + 1) {
      apply(entry);
      applyWaiting();
    } else if (entry.index() <= upTo() + mostAhead) {
      ahead.put(entry.index(), entry);
    }
  }

  private void apply(ChangeEntry entry) {
    note(entry, applier.apply(entry));
    tail.append(entry);
  }

  private void note(ChangeEntry entry, ChangeApplier.Outcome outcome) {
    if (entry != null && entry.change() instanceof ConfigurationChange) {
      refused = outcome == ChangeApplier.Outcome.REFUSED ? entry.index() : 0;
    }
  }

  private void applyWaiting() {
    ahead.headMap(upTo(), true).clear();
    while (!ahead.isEmpty() && ahead.firstKey() == upTo() + 1) {
      apply(ahead.pollFirstEntry().getValue());
    }
  }

  /** Puts a snapshot into force, where it is ahead of what is applied; true where it was. */
  boolean restore(ConfigurationSnapshot snapshot) {
    if (snapshot.index() <= upTo()) {
      return false;
    }
    note(snapshot.configuration(), applier.restore(snapshot));
    tail.restart(snapshot);
    applyWaiting();
    return true;
  }

  /** Another log has taken this one's place. */
  void forget() {
    ahead.clear();
    tail.restart(ConfigurationSnapshot.EMPTY);
    refused = 0;
  }
}

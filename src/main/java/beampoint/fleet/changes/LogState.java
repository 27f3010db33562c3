package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What one replica holds of a log: a snapshot, committed entries after it, and a tail of entries that may
 * become committed.
 *
 * @param identity the epoch under which the log was founded, or {@link Epoch#NONE} where none is known
 * @param life drawn at the start of the process, or after its memory was lost
 * @param voter false from its start until it holds again all that it may have acknowledged in an earlier life
 * @param fence the highest epoch that it has promised or followed; it accepts nothing from lower ones
 * @param accepted the epoch whose leader's log the tail was last made equal to
 * @param entries those after the snapshot, without gaps
 * @param commit the last index that is known to be committed
 */
public record LogState(Epoch identity, long life, boolean voter, Epoch fence, Epoch accepted,
    Snapshot snapshot, List<ChangeEntry> entries, long commit) {

  /** A replica at its start, without memory. */
  public static LogState started(long life) {
    return new LogState(Epoch.NONE, life, false, Epoch.NONE, Epoch.NONE, Snapshot.EMPTY, List.of(), 0);
  }

  /** The index of the last entry, committed or not. */
  public long last() {
    return snapshot.index() + entries.size();
  }

  /** The entry at an index behind the snapshot and up to the last. */
  public ChangeEntry entryAt(long index) {
    return entries.get((int) (index - snapshot.index() - 1));
  }

  /** The entries from an index on, which lies behind the snapshot, up to another one. */
  List<ChangeEntry> between(long from, long to) {
    long base = snapshot.index() + 1;
    return to < from ? List.of() : List.copyOf(entries.subList((int) (from - base), (int) (to - base + 1)));
  }

  /** The entries that are not known to be committed. */
  public List<ChangeEntry> tail() {
    return between(commit + 1, last());
  }

  /** The entry of a submitted change, as far as it is still told apart. */
  Optional<ChangeEntry> find(ChangeId id) {
    return Stream.concat(entries.stream(), snapshot.entries().stream()).filter(e -> e.id().equals(id))
        .findFirst();
  }

  /** True where an entry of this index is held and is another one. */
  boolean conflictsWith(ChangeEntry entry) {
    return entry.index() > snapshot.index() && entry.index() <= last()
        && !entryAt(entry.index()).isSameAs(entry);
  }

  LogState withFence(Epoch epoch) {
    return epoch.compareTo(fence) <= 0 ? this
        : new LogState(identity, life, voter, epoch, accepted, snapshot, entries, commit);
  }

  LogState asVoter() {
    return new LogState(identity, life, true, fence, accepted, snapshot, entries, commit);
  }

  /** Equal to the log of the leader of an epoch, as far as it goes. */
  LogState withAccepted(Epoch epoch) {
    return new LogState(identity, life, voter, fence.max(epoch), epoch, snapshot, entries, commit);
  }

  /** A member of another log, of which it holds nothing. */
  LogState asMemberOf(Epoch logIdentity) {
    return new LogState(logIdentity, life, false, fence, Epoch.NONE, Snapshot.EMPTY, List.of(), 0);
  }

  /** The founder of a log, which begins with all that it holds. */
  LogState asFounder(Epoch logIdentity) {
    return new LogState(logIdentity, life, true, fence, logIdentity, snapshot, entries, commit);
  }

  LogState committedTo(long index) {
    return index <= commit ? this
        : new LogState(identity, life, voter, fence, accepted, snapshot, entries, Math.min(index, last()));
  }

  /** With a tail of others in place of its own; what is committed stays. */
  LogState withTail(Collection<ChangeEntry> replacements) {
    List<ChangeEntry> all = new ArrayList<>(between(snapshot.index() + 1, commit));
    long next = commit + 1;
    for (ChangeEntry entry : replacements) {
      if (entry.index() == next) {
        all.add(entry);
        next++;
      }
    }
    return withEntries(all);
  }

  /** With those of the entries that follow on its last one without a gap. */
  LogState appended(Collection<ChangeEntry> additions) {
    List<ChangeEntry> all = new ArrayList<>(entries);
    for (ChangeEntry entry : additions) {
      if (entry.index() == snapshot.index() + all.size() + 1) {
        all.add(entry);
      }
    }
    return all.size() == entries.size() ? this : withEntries(all);
  }

  /**
   * With entries that are known to be committed, as far as they follow on its own committed ones. An entry of
   * its tail that stands in their place was never committed, and neither was any after it.
   */
  LogState withCommitted(Collection<ChangeEntry> committed) {
    List<ChangeEntry> all = new ArrayList<>(entries);
    long committedUpTo = commit;
    for (ChangeEntry entry : committed) {
      if (entry.index() != committedUpTo + 1) {
        continue;
      }
      int position = (int) (committedUpTo - snapshot.index());
      if (position < all.size() && !all.get(position).isSameAs(entry)) {
        all.subList(position, all.size()).clear();
      }
      if (position == all.size()) {
        all.add(entry);
      }
      committedUpTo++;
    }
    return committedUpTo == commit ? this : withEntries(all).committedTo(committedUpTo);
  }

  /** With a snapshot in place of what it covers. */
  LogState withSnapshot(Snapshot newer) {
    List<ChangeEntry> rest = newer.index() >= last() ? List.of() : between(newer.index() + 1, last());
    return new LogState(identity, life, voter, fence, accepted, newer, rest,
        Math.max(commit, newer.index()));
  }

  /** Compacted where more committed entries are kept than need be. */
  LogState compacted(LogLimits limits) {
    long keptCount = commit - snapshot.index();
    if (keptCount <= 2L * limits.keptEntries()) {
      return this;
    }
    long compactUpTo = commit - limits.keptEntries();
    return withSnapshot(snapshot.extendedBy(between(snapshot.index() + 1, compactUpTo), limits));
  }

  private LogState withEntries(List<ChangeEntry> all) {
    return new LogState(identity, life, voter, fence, accepted, snapshot, List.copyOf(all), commit);
  }
}

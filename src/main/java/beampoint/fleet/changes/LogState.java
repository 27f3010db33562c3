package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The log of one replica: a snapshot, the committed entries after it, and a tail of entries that are not yet
 * known to be committed.
 *
 * @param foundingEpoch the epoch under which the log was founded, or {@link Epoch#NONE} if no log is known
 * @param life a random number drawn at the start of the process, or after the log was lost
 * @param voter false after the replica has started without its log, until it again holds every entry that its
 *     earlier processes may have acknowledged
 * @param fence the highest epoch that it has promised or followed; messages of lower epochs are rejected
 * @param accepted the epoch of the leader to whose log the tail was last made equal
 * @param entries the entries after the snapshot, without gaps
 * @param commit the commit index: the last index that is known to be committed
 */
public record LogState(Epoch foundingEpoch, long life, boolean voter, Epoch fence, Epoch accepted,
    Snapshot snapshot, List<ChangeEntry> entries, long commit) {

  /** The state of a replica that starts without a log. */
  public static LogState started(long life) {
    return new LogState(Epoch.NONE, life, false, Epoch.NONE, Epoch.NONE, Snapshot.EMPTY, List.of(), 0);
  }

  /** The index of the last entry, committed or not. */
  public long last() {
    return snapshot.index() + entries.size();
  }

  /** The entry at an index, which must be after the snapshot and at most {@link #last}. */
  public ChangeEntry entryAt(long index) {
    return entries.get((int) (index - snapshot.index() - 1));
  }

  /** The entries from one index, which must be after the snapshot, to another one, both included. */
  List<ChangeEntry> between(long from, long to) {
    long base = snapshot.index() + 1;
    return to < from ? List.of() : List.copyOf(entries.subList((int) (from - base), (int) (to - base + 1)));
  }

  /** The entries that are not known to be committed. */
  public List<ChangeEntry> tail() {
    return between(commit + 1, last());
  }

  /** The entry of a submitted change, unless it has been dropped from the snapshot. */
  Optional<ChangeEntry> find(ChangeId id) {
    return Stream.concat(entries.stream(), snapshot.entries().stream()).filter(e -> e.id().equals(id))
        .findFirst();
  }

  /** Whether a different entry is held at the index of this one. */
  boolean conflictsWith(ChangeEntry entry) {
    return entry.index() > snapshot.index() && entry.index() <= last()
        && !entryAt(entry.index()).isSameAs(entry);
  }

  LogState withFence(Epoch epoch) {
    return epoch.compareTo(fence) <= 0 ? this
        : new LogState(foundingEpoch, life, voter, epoch, accepted, snapshot, entries, commit);
  }

  LogState asVoter() {
    return new LogState(foundingEpoch, life, true, fence, accepted, snapshot, entries, commit);
  }

  /** The log once it equals the log of the leader of an epoch, up to its last entry. */
  LogState withAccepted(Epoch epoch) {
    return new LogState(foundingEpoch, life, voter, fence.max(epoch), epoch, snapshot, entries, commit);
  }

  /** The state of a member of another log that holds none of its entries. */
  LogState asMemberOf(Epoch logIdentity) {
    return new LogState(logIdentity, life, false, fence, Epoch.NONE, Snapshot.EMPTY, List.of(), 0);
  }

  /** The state of the founder of a log, which begins with all entries that the founder holds. */
  LogState asFounder(Epoch logIdentity) {
    return new LogState(logIdentity, life, true, fence, logIdentity, snapshot, entries, commit);
  }

  LogState committedTo(long index) {
    return index <= commit ? this
        : new LogState(foundingEpoch, life, voter, fence, accepted, snapshot, entries,
            Math.min(index, last()));
  }

  /** Replaces the tail; committed entries stay. */
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

  /** Appends those of the entries that follow the last one without a gap. */
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
   * Adds entries that are known to be committed, as far as they follow the committed ones without a gap. A
   * conflicting entry of the tail was never committed, nor was any entry after it, so these are removed.
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

  /** Replaces the entries that a snapshot covers by the snapshot. */
  LogState withSnapshot(Snapshot newer) {
    List<ChangeEntry> rest = newer.index() >= last() ? List.of() : between(newer.index() + 1, last());
    return new LogState(foundingEpoch, life, voter, fence, accepted, newer, rest,
        Math.max(commit, newer.index()));
  }

  /**
   * Compacts committed entries into the snapshot once more than twice {@link LogLimits#keptEntries} of them
   * follow it.
   */
  LogState compacted(LogLimits limits) {
    long keptCount = commit - snapshot.index();
    if (keptCount <= 2L * limits.keptEntries()) {
      return this;
    }
    long compactUpTo = commit - limits.keptEntries();
    return withSnapshot(snapshot.extendedBy(between(snapshot.index() + 1, compactUpTo), limits));
  }

  private LogState withEntries(List<ChangeEntry> all) {
    return new LogState(foundingEpoch, life, voter, fence, accepted, snapshot, List.copyOf(all), commit);
  }
}

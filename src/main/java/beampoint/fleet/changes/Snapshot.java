package beampoint.fleet.changes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What stands in place of the first entries of a log: the last configuration and the latest purges among
 * them.
 *
 * @param index the last entry that is in it
 * @param completeFrom all purges after this index and up to {@code index} are in it; who has applied less
 *     than this has missed purges that nobody can name any longer, and must take all it holds as purged
 * @param entries the last configuration, if there is one, and the purges, by their index
 * @param floors by submitter, the highest number of its changes that are neither here nor after the snapshot
 */
public record Snapshot(long index, long completeFrom, List<ChangeEntry> entries,
    SortedMap<String, Long> floors) {

  /** Of the empty log. */
  public static final Snapshot EMPTY = new Snapshot(0, 0, List.of(), Collections.emptySortedMap());

  /** The last configuration up to the snapshot's index. */
  public Optional<ChangeEntry> configuration() {
    return entries.stream().filter(e -> e.change() instanceof ConfigurationChange).findFirst();
  }

  /** The snapshot after further entries, which follow on it without a gap. */
  Snapshot extendedBy(List<ChangeEntry> committed, LogLimits limits) {
    if (committed.isEmpty()) {
      return this;
    }
    Compaction compaction = new Compaction(this);
    for (ChangeEntry entry : committed) {
      compaction.add(entry);
    }
    return compaction.trimmedTo(limits);
  }

  /** One compaction on its way. */
  private static final class Compaction {

    private final Deque<ChangeEntry> purges = new ArrayDeque<>();
    private final SortedMap<String, Long> floors;
    private ChangeEntry configuration;
    private long index;
    private long completeFrom;
    private long bytes;

    Compaction(Snapshot before) {
      floors = new TreeMap<>(before.floors);
      index = before.index;
      completeFrom = before.completeFrom;
      before.entries.forEach(this::retain);
    }

    void add(ChangeEntry entry) {
      if (entry.index() != index + 1) {
        throw new IllegalArgumentException("entry " + entry.index() + " does not follow on " + index);
      }
      index = entry.index();
      retain(entry);
    }

    private void retain(ChangeEntry entry) {
      if (entry.change() instanceof ConfigurationChange) {
        raiseFloor(configuration);
        configuration = entry;
      } else {
        purges.add(entry);
        bytes += entry.weight();
      }
    }

    private void raiseFloor(ChangeEntry entry) {
      if (entry != null) {
        floors.merge(entry.id().origin(), entry.id().number(), Math::max);
      }
    }

    Snapshot trimmedTo(LogLimits limits) {
      while (purges.size() > limits.keptPurges() || bytes > limits.keptBytes()) {
        ChangeEntry oldest = purges.remove();
        bytes -= oldest.weight();
        completeFrom = oldest.index();
        raiseFloor(oldest);
      }
      List<ChangeEntry> entries = new ArrayList<>(purges);
      if (configuration != null) {
        entries.add(configuration);
        entries.sort((a, b) -> Long.compare(a.index(), b.index()));
      }
      return new Snapshot(index, completeFrom, List.copyOf(entries),
          Collections.unmodifiableSortedMap(floors));
    }
  }
}

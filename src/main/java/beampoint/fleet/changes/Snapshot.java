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
 * Replaces the first entries of a log by the last configuration and the latest purges among them.
 *
 * @param index the index of the last entry that it covers
 * @param completeFrom the snapshot contains all purges after this index and up to {@code index}; a proxy
 *     whose last applied index is lower has missed purges that are no longer known, and must treat everything
 *     it holds as purged
 * @param entries the last configuration, if there is one, and the purges, ordered by index
 * @param droppedNumbers by submitter, the highest number of its changes that are neither in the snapshot nor
 *     after it
 */
public record Snapshot(long index, long completeFrom, List<ChangeEntry> entries,
    SortedMap<String, Long> droppedNumbers) {

  /** The snapshot of the empty log. */
  public static final Snapshot EMPTY = new Snapshot(0, 0, List.of(), Collections.emptySortedMap());

  /** The last configuration up to the snapshot's index. */
  public Optional<ChangeEntry> configuration() {
    return entries.stream().filter(e -> e.change() instanceof ConfigurationChange).findFirst();
  }

  /**
   * The snapshot that also covers further entries.
   *
   * @throws IllegalArgumentException if the entries do not follow the snapshot without a gap
   */
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

  /** The mutable state of one compaction. */
  private static final class Compaction {

    private final Deque<ChangeEntry> purges = new ArrayDeque<>();
    private final SortedMap<String, Long> droppedNumbers;
    private ChangeEntry configuration;
    private long index;
    private long completeFrom;
    private long bytes;

    Compaction(Snapshot before) {
      droppedNumbers = new TreeMap<>(before.droppedNumbers);
      index = before.index;
      completeFrom = before.completeFrom;
      before.entries.forEach(this::retain);
    }

    void add(ChangeEntry entry) {
      if (entry.index() != index + 1) {
        throw new IllegalArgumentException("entry " + entry.index() + " does not follow index " + index);
      }
      index = entry.index();
      retain(entry);
    }

    private void retain(ChangeEntry entry) {
      if (entry.change() instanceof ConfigurationChange) {
        recordDropped(configuration);
        configuration = entry;
      } else {
        purges.add(entry);
        bytes += entry.approximateBytes();
      }
    }

    private void recordDropped(ChangeEntry entry) {
      if (entry != null) {
        droppedNumbers.merge(entry.id().submitter(), entry.id().number(), Math::max);
      }
    }

    Snapshot trimmedTo(LogLimits limits) {
      while (purges.size() > limits.keptPurges() || bytes > limits.keptBytes()) {
        ChangeEntry oldest = purges.remove();
        bytes -= oldest.approximateBytes();
        completeFrom = oldest.index();
        recordDropped(oldest);
      }
      List<ChangeEntry> entries = new ArrayList<>(purges);
      if (configuration != null) {
        entries.add(configuration);
        entries.sort((a, b) -> Long.compare(a.index(), b.index()));
      }
      return new Snapshot(index, completeFrom, List.copyOf(entries),
          Collections.unmodifiableSortedMap(droppedNumbers));
    }
  }
}

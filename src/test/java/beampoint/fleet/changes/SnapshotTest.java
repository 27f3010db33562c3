package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks which entries a snapshot keeps when entries are compacted. */
class SnapshotTest {

  private static final Epoch EPOCH = new Epoch(1, "a", 1);

  private static LogLimits limits(int purges, int bytes) {
    return new LogLimits(10, 10_000, 10, 10_000, 0, purges, bytes, 10);
  }

  private static ChangeEntry purge(long index) {
    return new ChangeEntry(index, EPOCH, new ChangeId("p", index),
        new PurgeChange(1, PurgeScope.KEY, "k" + index, 0));
  }

  private static ChangeEntry configuration(long index) {
    return new ChangeEntry(index, EPOCH, new ChangeId("s", index), new ConfigurationChange(1, "{}"));
  }

  private static List<ChangeEntry> purges(long from, long to) {
    List<ChangeEntry> entries = new ArrayList<>();
    for (long i = from; i <= to; i++) {
      entries.add(purge(i));
    }
    return entries;
  }

  @Test
  void theLastConfigurationIsKeptRegardlessOfItsAge() {
    Snapshot first = Snapshot.EMPTY.extendedBy(List.of(configuration(1), configuration(2)), limits(3, 1_000));
    assertEquals(configuration(2), first.configuration().orElseThrow());
    assertEquals(Map.of("s", 1L), first.droppedNumbers());
    Snapshot later = first.extendedBy(purges(3, 12), limits(3, 1_000));
    assertEquals(List.of(configuration(2), purge(10), purge(11), purge(12)), later.entries());
    assertEquals(12, later.index());
    assertEquals(9, later.completeFrom());
    assertEquals(Map.of("s", 1L, "p", 9L), later.droppedNumbers());
  }

  @Test
  void purgesAreKeptUpToTheMaximumCount() {
    for (int count : new int[] {2, 3}) {
      Snapshot snapshot = Snapshot.EMPTY.extendedBy(purges(1, count), limits(3, 1_000));
      assertEquals(count, snapshot.entries().size());
      assertEquals(0, snapshot.completeFrom());
      assertTrue(snapshot.droppedNumbers().isEmpty());
    }
    Snapshot more = Snapshot.EMPTY.extendedBy(purges(1, 4), limits(3, 1_000));
    assertEquals(purges(2, 4), more.entries());
    assertEquals(1, more.completeFrom());
  }

  @Test
  void purgesAreKeptUpToTheMaximumSize() {
    int bytes = purge(1).approximateBytes() + purge(2).approximateBytes();
    assertEquals(2, Snapshot.EMPTY.extendedBy(purges(1, 2), limits(9, bytes + 1)).entries().size());
    assertEquals(2, Snapshot.EMPTY.extendedBy(purges(1, 2), limits(9, bytes)).entries().size());
    assertEquals(List.of(purge(2)), Snapshot.EMPTY.extendedBy(purges(1, 2), limits(9, bytes - 1)).entries());
  }

  @Test
  void compactionAtOnceAndEntryByEntryGiveTheSameSnapshot() {
    List<ChangeEntry> entries = new ArrayList<>(purges(1, 20));
    entries.set(6, configuration(7));
    entries.set(13, configuration(14));
    Snapshot atOnce = Snapshot.EMPTY.extendedBy(entries, limits(5, 1_000));
    Snapshot oneByOne = Snapshot.EMPTY;
    for (ChangeEntry entry : entries) {
      oneByOne = oneByOne.extendedBy(List.of(entry), limits(5, 1_000));
    }
    assertEquals(atOnce, oneByOne);
  }

  @Test
  void onlyConsecutiveEntriesAreAccepted() {
    assertSame(Snapshot.EMPTY, Snapshot.EMPTY.extendedBy(List.of(), limits(1, 1)));
    assertThrows(IllegalArgumentException.class,
        () -> Snapshot.EMPTY.extendedBy(List.of(purge(2)), limits(1, 1)));
  }
}

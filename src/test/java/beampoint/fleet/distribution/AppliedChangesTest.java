package beampoint.fleet.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ChangeId;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.changes.PurgeChange;
import beampoint.fleet.changes.PurgeScope;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Entries that arrive in any order and any number of times are applied once and in order, within limits. */
class AppliedChangesTest {

  private static final Epoch EPOCH = new Epoch(1, "c", 1);

  private final List<Long> appliedIndexes = new ArrayList<>();
  private final ChangeApplier applier = new ChangeApplier() {
    @Override
    public Outcome apply(ChangeEntry entry) {
      appliedIndexes.add(entry.index());
      return entry.change() instanceof ConfigurationChange c && c.document().equals("bad") ? Outcome.REFUSED
          : Outcome.APPLIED;
    }

    @Override
    public Outcome restore(ConfigurationSnapshot snapshot) {
      appliedIndexes.add(-snapshot.index());
      return Outcome.APPLIED;
    }
  };

  private static ChangeEntry purge(long index) {
    return new ChangeEntry(index, EPOCH, new ChangeId("c", index),
        new PurgeChange(1, PurgeScope.KEY, "key-" + index, index));
  }

  private static ChangeEntry configuration(long index, String document) {
    return new ChangeEntry(index, EPOCH, new ChangeId("c", index), new ConfigurationChange(1, document));
  }

  @Property(tries = 300, seed = "3")
  void entriesInAnyOrderWithDuplicatesAreAppliedOnceInOrder(
      @ForAll @IntRange(min = 1, max = 200) int count, @ForAll long seed) {
    appliedIndexes.clear();
    AppliedChanges applied = new AppliedChanges(DistributionSettings.defaults(), applier);
    List<ChangeEntry> entries = new ArrayList<>();
    LongStream.rangeClosed(1, count).forEach(i -> entries.addAll(List.of(purge(i), purge(i))));
    Collections.shuffle(entries, new Random(seed));
    entries.forEach(applied::accept);
    assertEquals(LongStream.rangeClosed(1, count).boxed().toList(), appliedIndexes);
    assertFalse(applied.hasGap());
    assertTrue(applied.duplicates() <= count, "a duplicate of an entry that was held back was counted");
  }

  @Test
  void anEntryTooFarAheadIsNotHeldBack() {
    AppliedChanges applied = new AppliedChanges(DistributionSettings.defaults(), applier);
    applied.accept(purge(DistributionSettings.defaults().maxOutOfOrderEntries() + 1));
    assertFalse(applied.hasGap());
    applied.accept(purge(DistributionSettings.defaults().maxOutOfOrderEntries()));
    assertTrue(applied.hasGap());
  }

  @Test
  void aSnapshotReplacesEntriesAndThoseHeldBackAreApplied() {
    AppliedChanges applied = new AppliedChanges(DistributionSettings.defaults(), applier);
    applied.accept(purge(1));
    applied.accept(purge(11));
    assertTrue(applied.restore(new ConfigurationSnapshot(10, EPOCH, null)));
    assertFalse(applied.restore(new ConfigurationSnapshot(9, EPOCH, null)));
    assertEquals(List.of(1L, -10L, 11L), appliedIndexes);
    assertEquals(11, applied.appliedUpTo());
  }

  @Test
  void aRefusedConfigurationIsReportedUntilAnotherIsApplied() {
    AppliedChanges applied = new AppliedChanges(DistributionSettings.defaults(), applier);
    applied.accept(configuration(1, "good"));
    applied.accept(configuration(2, "bad"));
    applied.accept(purge(3));
    assertEquals(2, applied.refusedIndex());
    applied.accept(configuration(4, "good"));
    assertEquals(0, applied.refusedIndex());
  }

  @Property(tries = 100, seed = "4")
  void theTailIsBoundedAndItsSnapshotHasTheLastConfiguration(
      @ForAll @IntRange(min = 1, max = 300) int count, @ForAll @IntRange(min = 1, max = 40) int maxEntries) {
    ChangeTail tail = new ChangeTail(maxEntries, 2_000);
    long last = 0;
    for (long i = 1; i <= count; i++) {
      tail.append(i % 7 == 0 ? configuration(i, "document " + i) : purge(i));
      last = i % 7 == 0 ? i : last;
      long dropped = tail.base().index() / 7 * 7;
      assertEquals(dropped, tail.base().configuration() == null ? 0 : tail.base().configuration().index());
      assertEquals(last, tail.latest().configuration() == null ? 0 : tail.latest().configuration().index());
      assertTrue(i - tail.base().index() <= maxEntries);
      assertEquals(i - tail.base().index(), tail.entriesFrom(1, Integer.MAX_VALUE, Integer.MAX_VALUE).size());
    }
  }
}

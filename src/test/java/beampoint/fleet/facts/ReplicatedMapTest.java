package beampoint.fleet.facts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** The replicas of all members converge, in whatever order and how often entries are merged. */
class ReplicatedMapTest {

  private static final Epoch FIRST = new Epoch(1, "a", 1);

  @Provide
  Arbitrary<List<Entry>> entries() {
    Arbitrary<Epoch> epochs = Combinators.combine(Arbitraries.longs().between(0, 2),
        Arbitraries.of("a", "b"), Arbitraries.longs().between(1, 2)).as(Epoch::new);
    Arbitrary<Stamp> stamps = Combinators.combine(Arbitraries.of(true, false, false, false), epochs,
        Arbitraries.longs().between(1, 3), Arbitraries.of("a", "b")).as(Stamp::new);
    return Combinators.combine(Arbitraries.of("k", "l"), Arbitraries.of("x", "y", "").injectNull(0.2), stamps,
        Arbitraries.of(5.0, 10.0, 20.0)).as(Entry::new).list().ofMinSize(1).ofMaxSize(8);
  }

  private static List<Entry> merged(List<Entry> entries, double now) {
    ReplicatedMap map = new ReplicatedMap(10);
    entries.forEach(e -> map.merge(e, now));
    return map.all(now);
  }

  @Property(tries = 500, seed = "7")
  void theOrderAndRepetitionOfMergesMakeNoDifference(@ForAll("entries") List<Entry> entries,
      @ForAll long seed) {
    List<Entry> other = new ArrayList<>(entries);
    other.addAll(entries);
    Collections.shuffle(other, new Random(seed));
    assertEquals(merged(entries, 3), merged(other, 3));
  }

  @Property(tries = 500, seed = "7")
  void mergingIsAssociativeAndCommutative(@ForAll("entries") List<Entry> a,
      @ForAll("entries") List<Entry> b, @ForAll("entries") List<Entry> c) {
    List<Entry> leftFirst = new ArrayList<>(merged(a, 3));
    leftFirst.addAll(b);
    List<Entry> left = new ArrayList<>(merged(leftFirst, 3));
    left.addAll(c);
    List<Entry> rightFirst = new ArrayList<>(merged(b, 3));
    rightFirst.addAll(c);
    List<Entry> right = new ArrayList<>(merged(rightFirst, 3));
    right.addAll(0, a);
    assertEquals(merged(left, 3), merged(right, 3));
  }

  /** A final entry takes precedence over every other entry, whatever its epoch and order of arrival. */
  @Property(tries = 500, seed = "7")
  void aFinalEntryIsNeverReplaced(@ForAll("entries") List<Entry> entries) {
    ReplicatedMap map = new ReplicatedMap(10);
    map.merge(new Entry("k", "halt", new Stamp(true, new Epoch(9, "z", 9), 9, "z"), 50), 0);
    entries.forEach(e -> map.merge(e, 1));
    assertEquals("halt", map.get("k", 1).value());
  }

  @Test
  void aLaterEpochTakesPrecedenceOverAHigherVersion() {
    ReplicatedMap map = new ReplicatedMap(10);
    assertTrue(map.merge(new Entry("k", "new", new Stamp(false, new Epoch(2, "b", 1), 1, "b"), 10), 0));
    assertFalse(map.merge(new Entry("k", "old", new Stamp(false, FIRST, 99, "a"), 10), 0));
    assertEquals("new", map.get("k", 0).value());
    assertEquals(2, map.highestEpoch(0).number());
  }

  /** Every entry expires, and a tombstone lasts longer than every copy of the value that it deletes. */
  @Test
  void aDeletedValueDoesNotReturnFromAPartitionedMember() {
    ReplicatedMap partitioned = new ReplicatedMap(10);
    Entry entry = new Entry("k", "x", new Stamp(false, FIRST, 1, "a"), 1_000);
    partitioned.merge(entry, 0);
    ReplicatedMap others = new ReplicatedMap(10);
    others.merge(entry, 0);
    others.merge(new Entry("k", null, new Stamp(false, FIRST, 2, "a"), 2_000), 100);
    partitioned.all(900).forEach(e -> others.merge(e, 900));
    assertTrue(others.get("k", 900).isTombstone());
    assertNull(partitioned.get("k", 1_000));
    assertEquals(List.of(), partitioned.all(1_000));
    others.all(1_050).forEach(e -> partitioned.merge(e, 1_050));
    assertTrue(partitioned.get("k", 1_050).isTombstone());
    assertNull(others.get("k", 2_100));
    others.removeExpired(2_100);
    assertEquals(new ReplicatedMap(10).digest(0), others.digest(2_100));
  }

  @Test
  void theNumberOfEntriesIsBoundedAndExpiredOnesFreeTheirSpace() {
    ReplicatedMap map = new ReplicatedMap(2);
    Stamp stamp = new Stamp(false, FIRST, 1, "a");
    assertTrue(map.merge(new Entry("a", "1", stamp, 10), 0));
    assertTrue(map.merge(new Entry("b", "1", stamp, 20), 0));
    assertFalse(map.merge(new Entry("c", "1", stamp, 20), 0));
    assertEquals(1, map.rejected());
    assertTrue(map.merge(new Entry("c", "1", stamp, 20), 10));
    assertFalse(map.merge(new Entry("d", "1", stamp, 0), 100), "no remaining time");
  }
}

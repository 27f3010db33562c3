package beampoint.fleet.facts;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * What one member holds of the facts that all come to share: a map in which each key's greatest entry stands
 * (a state-based replicated data type after Shapiro and others, "Conflict-free Replicated Data Types",
 * 2011). Merging is commutative, associative and idempotent. Entries run out by this member's own clock. Not
 * safe for threads.
 */
public final class Facts {

  /** An entry, and when it has run out here. */
  private record Held(Entry entry, double until) {}

  private final SortedMap<String, Held> held = new TreeMap<>();
  private final int most;
  private long refused;

  /** Holds so many entries at the most, tombstones among them. */
  public Facts(int most) {
    this.most = most;
  }

  /** Takes one entry; true where something changed by it, so that others should hear of it. */
  public boolean merge(Entry entry, double now) {
    if (!(entry.left() > 0)) {
      return false;
    }
    Held present = held.get(entry.key());
    if (present == null || present.until <= now) {
      if (present == null && held.size() >= most) {
        forget(now);
      }
      if (present == null && held.size() >= most) {
        refused++;
        return false;
      }
      held.put(entry.key(), new Held(entry, now + entry.left()));
      return true;
    }
    Entry mine = present.entry.withLeft(present.until - now);
    Entry next = mine.max(entry);
    if (next == mine) {
      return false;
    }
    held.put(entry.key(), new Held(next, now + next.left()));
    return !next.stamp().equals(mine.stamp()) || !Objects.equals(next.value(), mine.value());
  }

  /** What stands under a key, a tombstone too; null where nothing is known or it has run out. */
  public Entry get(String key, double now) {
    Held present = held.get(key);
    return present == null || present.until <= now ? null
        : present.entry.withLeft(present.until - now);
  }

  /** All that stands, in the order of the keys, each with the time it has left. */
  public List<Entry> all(double now) {
    List<Entry> all = new ArrayList<>();
    held.values().stream().filter(h -> h.until > now).forEach(h -> all.add(h.entry.withLeft(h.until - now)));
    return all;
  }

  /** The highest epoch under which anything stands. */
  public Epoch highestEpoch(double now) {
    return held.values().stream().filter(h -> h.until > now).map(h -> h.entry.stamp().epoch())
        .reduce(Epoch.NONE, Epoch::max);
  }

  /** Forgets what has run out. */
  public void forget(double now) {
    held.values().removeIf(h -> h.until <= now);
  }

  /** How many entries were not taken for want of room. */
  public long refused() {
    return refused;
  }

  /** Tells two sets apart, by keys, stamps and values and not by the time left. */
  public long digest(double now) {
    CRC32C sum = new CRC32C();
    for (Entry e : all(now)) {
      String text = e.key() + '\0' + e.value() + '\0' + e.stamp();
      sum.update(text.getBytes(StandardCharsets.UTF_8));
    }
    return sum.getValue();
  }
}

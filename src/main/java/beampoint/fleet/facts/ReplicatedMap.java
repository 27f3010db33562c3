package beampoint.fleet.facts;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * One member's replica of a map that all members share (a state-based replicated data type after Shapiro and
 * others, "Conflict-free Replicated Data Types", 2011). Of several entries of a key, the greatest is kept.
 * Merging is commutative, associative and idempotent. Entries expire by this member's own clock. Times are in
 * ms. Not thread-safe.
 */
public final class ReplicatedMap {

  /** An entry and the time at which it expires here. */
  private record Stored(Entry entry, double expiresAt) {}

  private final SortedMap<String, Stored> entries = new TreeMap<>();
  private final int capacity;
  private long rejected;

  /**
   * Creates an empty map.
   *
   * @param capacity the maximum number of entries, including tombstones
   */
  public ReplicatedMap(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Merges an entry. An entry whose time to live is not above 0 is ignored; one for a new key is rejected if
   * the map is full.
   *
   * @return true if the value or stamp of the key has changed, so that the entry should be passed on
   */
  public boolean merge(Entry entry, double now) {
    if (!(entry.timeToLiveMs() > 0)) {
      return false;
    }
    Stored stored = entries.get(entry.key());
    if (stored == null || stored.expiresAt <= now) {
      if (stored == null && entries.size() >= capacity) {
        removeExpired(now);
      }
      if (stored == null && entries.size() >= capacity) {
        rejected++;
        return false;
      }
      entries.put(entry.key(), new Stored(entry, now + entry.timeToLiveMs()));
      return true;
    }
    Entry own = stored.entry.withTimeToLive(stored.expiresAt - now);
    Entry next = own.max(entry);
    if (next == own) {
      return false;
    }
    entries.put(entry.key(), new Stored(next, now + next.timeToLiveMs()));
    return !next.stamp().equals(own.stamp()) || !Objects.equals(next.value(), own.value());
  }

  /** Returns the entry of a key, which may be a tombstone; null if there is none or it has expired. */
  public Entry get(String key, double now) {
    Stored stored = entries.get(key);
    return stored == null || stored.expiresAt <= now ? null
        : stored.entry.withTimeToLive(stored.expiresAt - now);
  }

  /**
   * Returns all entries that have not expired, in the order of their keys, with their current times to live.
   */
  public List<Entry> all(double now) {
    List<Entry> all = new ArrayList<>();
    entries.values().stream().filter(s -> s.expiresAt > now)
        .forEach(s -> all.add(s.entry.withTimeToLive(s.expiresAt - now)));
    return all;
  }

  /** Returns the highest epoch of all entries that have not expired. */
  public Epoch highestEpoch(double now) {
    return entries.values().stream().filter(s -> s.expiresAt > now).map(s -> s.entry.stamp().epoch())
        .reduce(Epoch.NONE, Epoch::max);
  }

  /** Removes all expired entries. */
  public void removeExpired(double now) {
    entries.values().removeIf(s -> s.expiresAt <= now);
  }

  /** The number of entries that were rejected because the map was full. */
  public long rejected() {
    return rejected;
  }

  /** A checksum over keys, values and stamps, without remaining times, to compare two replicas. */
  public long digest(double now) {
    CRC32C sum = new CRC32C();
    for (Entry e : all(now)) {
      String text = e.key() + '\0' + e.value() + '\0' + e.stamp();
      sum.update(text.getBytes(StandardCharsets.UTF_8));
    }
    return sum.getValue();
  }
}

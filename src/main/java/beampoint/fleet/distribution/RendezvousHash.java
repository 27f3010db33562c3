package beampoint.fleet.distribution;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Highest random weight hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998). Removing a name changes the choice only for the keys that had been assigned to it.
 */
final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the names by descending weight for a key. */
  static List<String> ranked(String key, Collection<String> names) {
    record Weighted(String name, long weight) {}
    return names.stream().map(name -> new Weighted(name, weight(key, name)))
        .sorted(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::name))
        .map(Weighted::name).toList();
  }

  /**
   * FNV-1a over both texts, then the finalizer of SplitMix64, so that similar names get unrelated weights.
   */
  private static long weight(String key, String name) {
    long hash = fnv1a(fnv1a(FNV_OFFSET, key) * FNV_PRIME, name);
    hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
    return hash ^ hash >>> 31;
  }

  private static long fnv1a(long start, String text) {
    long hash = start;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}

package beampoint.fleet.membership;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The order of probes: each live member once per round, in a new random order for each round (SWIM, section
 * 4.3). Each member is inserted at a random position of the order built so far.
 */
final class ProbeRound {

  private final MemberTable table;
  private final UniformRandomProvider random;
  private Peer[] order = {};
  private int remaining; // entries of the order still to be probed, from the last one on

  ProbeRound(MemberTable table, UniformRandomProvider random) {
    this.table = table;
    this.random = random;
  }

  /** Returns the next member that is still live, or null if the round ends without one. */
  Peer next() {
    if (remaining == 0) {
      startRound(table.live().asList());
    }
    while (remaining > 0) {
      remaining--;
      Peer peer = order[remaining];
      if (peer.isLive()) {
        return peer;
      }
    }
    return null;
  }

  /**
   * Draws the insertion positions, then places the members from the last to the first: the last one inserted
   * keeps its position, and each earlier one gets the free place of that rank.
   */
  private void startRound(List<Peer> live) {
    int size = live.size();
    int[] insertedAt = new int[size];
    for (int i = 0; i < size; i++) {
      insertedAt[i] = random.nextInt(i + 1);
    }
    FreePlaces free = new FreePlaces(size);
    order = new Peer[size];
    for (int i = size - 1; i >= 0; i--) {
      order[free.take(insertedAt[i])] = live.get(i);
    }
    remaining = size;
  }

  /** Finds a free place by its rank in O(log N), with a binary indexed tree (Fenwick tree) of counts. */
  private static final class FreePlaces {
    private final int[] counts; // 1-based; each counts the free places in a range that ends at its index
    private final int highestStep;

    FreePlaces(int size) {
      counts = new int[size + 1];
      for (int i = 1; i <= size; i++) {
        counts[i] = Integer.lowestOneBit(i);
      }
      highestStep = Integer.highestOneBit(size);
    }

    /** Takes and returns the free place that has {@code rank} free places before it. */
    int take(int rank) {
      int place = 0;
      int before = rank;
      for (int step = highestStep; step > 0; step >>= 1) {
        int next = place + step;
        if (next < counts.length && counts[next] <= before) {
          place = next;
          before -= counts[next];
        }
      }
      for (int i = place + 1; i < counts.length; i += Integer.lowestOneBit(i)) {
        counts[i]--;
      }
      return place;
    }
  }
}

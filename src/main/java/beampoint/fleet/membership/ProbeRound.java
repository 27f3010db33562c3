package beampoint.fleet.membership;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Whom to probe next: all that live, each once a round, in an order drawn anew for each round (SWIM, section
 * 4.3). Each is inserted at a drawn place of the order so far.
 */
final class ProbeRound {

  private final MemberTable table;
  private final UniformRandomProvider random;
  private Peer[] order = {};
  private int rest; // how many of the order are still to be probed, the last of them first

  ProbeRound(MemberTable table, UniformRandomProvider random) {
    this.table = table;
    this.random = random;
  }

  /** The next that still lives; null where the round ends without one. */
  Peer next() {
    if (rest == 0) {
      begin(table.living().asList());
    }
    while (rest > 0) {
      rest--;
      Peer peer = order[rest];
      if (peer.isLiving()) {
        return peer;
      }
    }
    return null;
  }

  /** The last inserted stands where it was inserted; each before it in one of the places then left. */
  private void begin(List<Peer> living) {
    int size = living.size();
    int[] insertedAt = new int[size];
    for (int i = 0; i < size; i++) {
      insertedAt[i] = random.nextInt(i + 1);
    }
    FreePlaces free = new FreePlaces(size);
    order = new Peer[size];
    for (int i = size - 1; i >= 0; i--) {
      order[free.take(insertedAt[i])] = living.get(i);
    }
    rest = size;
  }

  /** Places of which any free one is found by its rank in O(log N): a binary indexed tree of counts. */
  private static final class FreePlaces {
    private final int[] counts; // from 1 on; each of a range of places that ends at its index
    private final int highestStep;

    FreePlaces(int size) {
      counts = new int[size + 1];
      for (int i = 1; i <= size; i++) {
        counts[i] = Integer.lowestOneBit(i);
      }
      highestStep = Integer.highestOneBit(size);
    }

    /** Takes the free place that has so many free ones before it. */
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

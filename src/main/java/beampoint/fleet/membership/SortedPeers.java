package beampoint.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Peers in the order of their names, by index. Finding and drawing cost O(log N); adding and removing move
 * the references behind, which are some kilobytes for thousands of members.
 */
final class SortedPeers {

  private static final Comparator<Peer> BY_NAME = Comparator.comparing(Peer::name);

  private final List<Peer> peers = new ArrayList<>();

  int size() {
    return peers.size();
  }

  boolean isEmpty() {
    return peers.isEmpty();
  }

  List<Peer> asList() {
    return Collections.unmodifiableList(peers);
  }

  void add(Peer peer) {
    int index = indexOf(peer);
    if (index < 0) {
      peers.add(-index - 1, peer);
    }
  }

  void remove(Peer peer) {
    int index = indexOf(peer);
    if (index >= 0) {
      peers.remove(index);
    }
  }

  /** The first after a name, on a ring; null where there is none at all. */
  Peer after(String name) {
    if (peers.isEmpty()) {
      return null;
    }
    int low = 0;
    int high = peers.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (peers.get(middle).name().compareTo(name) > 0) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return peers.get(low % peers.size());
  }

  /**
   * Any so many, without repeats, as if each drawn one were replaced by the last of the rest (the shuffle of
   * Fisher and Yates, of which only the places that were touched are kept).
   *
   * @param except that is not drawn; null for none
   */
  List<Peer> draw(int count, UniformRandomProvider random, Peer except) {
    int excluded = except == null ? -1 : indexOf(except);
    int rest = peers.size() - (excluded >= 0 ? 1 : 0);
    int draws = Math.min(count, rest);
    int[] replaced = new int[draws];
    int[] replacedBy = new int[draws];
    List<Peer> drawn = new ArrayList<>(draws);
    for (int i = 0; i < draws; i++) {
      int place = random.nextInt(rest);
      int index = lookUp(place, replaced, replacedBy, i);
      drawn.add(peers.get(excluded >= 0 && index >= excluded ? index + 1 : index));
      rest--;
      replacedBy[i] = lookUp(rest, replaced, replacedBy, i);
      replaced[i] = place;
    }
    return drawn;
  }

  /** What stands at a place after so many replacements, of which the latest counts. */
  private static int lookUp(int place, int[] replaced, int[] replacedBy, int replacements) {
    for (int i = replacements - 1; i >= 0; i--) {
      if (replaced[i] == place) {
        return replacedBy[i];
      }
    }
    return place;
  }

  private int indexOf(Peer peer) {
    return Collections.binarySearch(peers, peer, BY_NAME);
  }
}

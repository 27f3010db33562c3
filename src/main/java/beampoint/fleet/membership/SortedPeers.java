package beampoint.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Peers sorted by name and accessible by index. Searching and drawing cost O(log N). Adding and removing
 * shift the following references, which are a few kilobytes for thousands of members.
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

  /** Returns the first peer after a name on the ring of names, or null if there are no peers. */
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
   * Draws random peers without repetition: a Fisher-Yates shuffle that stores only the positions it touched,
   * in which each drawn peer is replaced by the last of the remaining ones.
   *
   * @param count the number of peers; fewer are returned if there are not as many
   * @param except a peer that is not drawn; null for none
   */
  List<Peer> draw(int count, UniformRandomProvider random, Peer except) {
    int excluded = except == null ? -1 : indexOf(except);
    int remaining = peers.size() - (excluded >= 0 ? 1 : 0);
    int draws = Math.min(count, remaining);
    int[] replaced = new int[draws];
    int[] replacedBy = new int[draws];
    List<Peer> drawn = new ArrayList<>(draws);
    for (int i = 0; i < draws; i++) {
      int place = random.nextInt(remaining);
      int index = lookUp(place, replaced, replacedBy, i);
      drawn.add(peers.get(excluded >= 0 && index >= excluded ? index + 1 : index));
      remaining--;
      replacedBy[i] = lookUp(remaining, replaced, replacedBy, i);
      replaced[i] = place;
    }
    return drawn;
  }

  /** The index that a position holds after the given number of replacements; the latest one counts. */
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

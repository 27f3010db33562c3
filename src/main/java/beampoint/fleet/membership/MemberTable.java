package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All members that one knows of, itself not among them, with indexes of the living and of the dead. */
final class MemberTable {

  private final Map<String, Peer> byName = new HashMap<>();
  private final SortedPeers all = new SortedPeers();
  private final SortedPeers living = new SortedPeers();
  private final SortedPeers dead = new SortedPeers();
  private final int capacity;

  MemberTable(int capacity) {
    this.capacity = capacity;
  }

  /** A member by its name; null where it is not known. */
  Peer get(String name) {
    return byName.get(name);
  }

  /** All members in the order of their names. */
  List<Peer> all() {
    return all.asList();
  }

  /** Those that are alive or suspected. */
  SortedPeers living() {
    return living;
  }

  /** Those that were declared dead; who left is not among them. */
  SortedPeers dead() {
    return dead;
  }

  /** Takes one that was not known; null where there is no room. */
  Peer add(MemberState news) {
    if (byName.size() >= capacity) {
      return null;
    }
    Peer peer = new Peer(news);
    byName.put(peer.name(), peer);
    all.add(peer);
    index(peer);
    return peer;
  }

  /** Replaces what is known of a member. */
  void update(Peer peer, MemberState news) {
    boolean sameIndex = indexOf(peer.news.status()) == indexOf(news.status());
    if (!sameIndex) {
      living.remove(peer);
      dead.remove(peer);
    }
    peer.news = news;
    if (!sameIndex) {
      index(peer);
    }
  }

  private void index(Peer peer) {
    SortedPeers index = indexOf(peer.news.status());
    if (index != null) {
      index.add(peer);
    }
  }

  private SortedPeers indexOf(Status status) {
    if (Peer.isLiving(status)) {
      return living;
    }
    return status == Status.DEAD ? dead : null;
  }
}

package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All members known to the local member, excluding itself, with indexes of the live and of the dead ones. */
final class MemberTable {

  private final Map<String, Peer> byName = new HashMap<>();
  private final SortedPeers all = new SortedPeers();
  private final SortedPeers live = new SortedPeers();
  private final SortedPeers dead = new SortedPeers();
  private final int capacity;

  MemberTable(int capacity) {
    this.capacity = capacity;
  }

  /** Returns a member by its name, or null if it is not known. */
  Peer get(String name) {
    return byName.get(name);
  }

  /** All members in the order of their names. */
  List<Peer> all() {
    return all.asList();
  }

  /** The members that are alive or suspected. */
  SortedPeers live() {
    return live;
  }

  /** The members that were declared dead; those that left are not included. */
  SortedPeers dead() {
    return dead;
  }

  /** Adds a member that is not known yet; returns null if the table is full. */
  Peer add(MemberState state) {
    if (byName.size() >= capacity) {
      return null;
    }
    Peer peer = new Peer(state);
    byName.put(peer.name(), peer);
    all.add(peer);
    index(peer);
    return peer;
  }

  /** Replaces the state of a member and keeps the indexes consistent. */
  void update(Peer peer, MemberState state) {
    boolean sameIndex = indexOf(peer.state.status()) == indexOf(state.status());
    if (!sameIndex) {
      live.remove(peer);
      dead.remove(peer);
    }
    peer.state = state;
    if (!sameIndex) {
      index(peer);
    }
  }

  private void index(Peer peer) {
    SortedPeers index = indexOf(peer.state.status());
    if (index != null) {
      index.add(peer);
    }
  }

  private SortedPeers indexOf(Status status) {
    if (Peer.isLive(status)) {
      return live;
    }
    return status == Status.DEAD ? dead : null;
  }
}

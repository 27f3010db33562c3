package beampoint.fleet.membership;

import beampoint.fleet.message.News;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/** All members that one knows of, itself not among them, in the order of a ring. */
final class Roster {

  private final TreeMap<String, Peer> peers = new TreeMap<>();
  private final int most;

  Roster(int most) {
    this.most = most;
  }

  Peer get(String name) {
    return peers.get(name);
  }

  Collection<Peer> all() {
    return peers.values();
  }

  /** Takes one that was not known; null where there is no room. */
  Peer add(News news) {
    if (peers.size() >= most) {
      return null;
    }
    Peer peer = new Peer(news);
    peers.put(news.member(), peer);
    return peer;
  }

  /** Those that are alive or suspected. */
  List<Peer> living() {
    return peers.values().stream().filter(p -> lives(p)).toList();
  }

  static boolean lives(Peer peer) {
    return peer.news.status() == Status.ALIVE || peer.news.status() == Status.SUSPECT;
  }

  /** Who lives after a member on the ring of names, so that each is probed by one in particular; or null. */
  Peer successor(String name) {
    List<Peer> order = new ArrayList<>(peers.tailMap(name, false).values());
    order.addAll(peers.values());
    return order.stream().filter(Roster::lives).findFirst().orElse(null);
  }
}

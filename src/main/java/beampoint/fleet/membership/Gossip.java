package beampoint.fleet.membership;

import beampoint.fleet.membership.MemberAction.Changed;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Message.Kind;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Dissemination: what this member sends, and the news that ride on it. All changes of the table pass through
 * here, as each is news to others.
 */
final class Gossip {

  private static final int FANOUT = 3; // members that are sent news in a step
  private static final int FANOUT_OF_LEAVING = FANOUT * FANOUT;
  private static final int NEWS_IN_A_MESSAGE = 10;
  private static final double EXCHANGE_GAP = 500; // ms between two exchanges at the least

  private final MemberTable table;
  private final LocalMember local;
  private final UniformRandomProvider random;
  private final GossipQueue queue = new GossipQueue();
  private final List<MemberAction> actions = new ArrayList<>();
  private double exchangedAt = Double.NEGATIVE_INFINITY;

  Gossip(MemberTable table, LocalMember local, UniformRandomProvider random) {
    this.table = table;
    this.local = local;
    this.random = random;
  }

  /** Takes out what is to be done. */
  List<MemberAction> takeActions() {
    List<MemberAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  /** Passes on what this member says of itself. */
  void spreadSelf() {
    queue.add(local.news());
  }

  /** Passes on that a member is known now. */
  void added(Peer peer) {
    queue.add(peer.news);
    actions.add(new Changed(peer.news));
  }

  /** Replaces what is known of a member, and passes it on. */
  void update(Peer peer, MemberState news) {
    boolean isChange = peer.news.status() != news.status() || peer.news.notReceiving() != news.notReceiving();
    table.update(peer, news);
    queue.add(news);
    if (isChange) {
      actions.add(new Changed(news));
    }
  }

  /** Passes on what leaves the table as it is. */
  void spread(MemberState news) {
    queue.add(news);
  }

  /** Sends news to some while there are any; they don't wait for the next probe. */
  void tick() {
    if (!queue.isEmpty()) {
      sendToAny(FANOUT);
    }
  }

  /** Tells many at once, as nobody will pass it on for a process that is gone. */
  void sendToManyAtTheEnd() {
    sendToAny(FANOUT_OF_LEAVING);
  }

  private void sendToAny(int count) {
    table.living().draw(count, random, null).forEach(peer -> send(peer, Kind.GOSSIP, 0, ""));
  }

  /** Who is suspected, or held for dead, or has started anew, is told so with whatever it is sent. */
  void send(Peer to, Kind kind, long number, String about) {
    send(to, kind, number, about, List.of());
  }

  /** The same, with some news before all others. */
  void send(Peer to, Kind kind, long number, String about, List<MemberState> first) {
    List<MemberState> news = new ArrayList<>(first);
    if (to.news.status() != Status.ALIVE || to.isBehind()) {
      news.add(to.news);
    }
    Peer asked = table.get(about); // who asked for it may hear nothing of that one by itself
    if (asked != null) {
      news.add(asked.news);
    }
    news.addAll(queue.next(NEWS_IN_A_MESSAGE - news.size(), 1 + table.living().size()));
    actions.add(new Send(to.news, new Message(kind, number, local.news(), about, news)));
  }

  /** Exchanges whole views with a member, unless one was begun a moment ago. */
  void exchange(Peer with, double now) {
    if (now - exchangedAt >= EXCHANGE_GAP) {
      exchangedAt = now;
      actions.add(new Exchange(with.news));
    }
  }
}

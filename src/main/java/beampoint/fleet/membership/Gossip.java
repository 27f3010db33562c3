package beampoint.fleet.membership;

import beampoint.fleet.membership.MemberAction.ReportChange;
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
 * Dissemination: builds the messages that this member sends and piggybacks membership updates on them. Every
 * change of the member table passes through here, because it has to be passed on to other members.
 */
final class Gossip {

  private static final int FANOUT = 3; // members that receive updates per tick
  private static final int LEAVE_FANOUT = FANOUT * FANOUT;
  private static final int MAX_UPDATES_PER_MESSAGE = 10;
  private static final double MIN_EXCHANGE_INTERVAL_MS = 500;

  private final MemberTable table;
  private final LocalMember local;
  private final UniformRandomProvider random;
  private final GossipQueue queue = new GossipQueue();
  private final List<MemberAction> actions = new ArrayList<>();
  private double lastExchangeAt = Double.NEGATIVE_INFINITY;

  Gossip(MemberTable table, LocalMember local, UniformRandomProvider random) {
    this.table = table;
    this.local = local;
    this.random = random;
  }

  /** Returns the actions collected since the last call and forgets them. */
  List<MemberAction> takeActions() {
    List<MemberAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  /** Queues the local member's own state for dissemination. */
  void enqueueSelf() {
    queue.add(local.state());
  }

  /** Disseminates and reports a member that was added to the table. */
  void memberAdded(Peer peer) {
    queue.add(peer.state);
    actions.add(new ReportChange(peer.state));
  }

  /** Replaces the state of a member in the table and disseminates it. */
  void update(Peer peer, MemberState update) {
    boolean isChange = peer.state.status() != update.status()
        || peer.state.notReceiving() != update.notReceiving();
    table.update(peer, update);
    queue.add(update);
    if (isChange) {
      actions.add(new ReportChange(update));
    }
  }

  /** Disseminates an update that does not change the table. */
  void enqueue(MemberState update) {
    queue.add(update);
  }

  /** Sends queued updates to random members at each tick, without waiting for the next probe. */
  void tick() {
    if (!queue.isEmpty()) {
      sendToRandom(FANOUT);
    }
  }

  /**
   * Sends the queued updates to more members than a tick does, because this process ends and cannot send them
   * again.
   */
  void sendLeave() {
    sendToRandom(LEAVE_FANOUT);
  }

  private void sendToRandom(int count) {
    table.live().draw(count, random, null).forEach(peer -> send(peer, Kind.GOSSIP, 0, ""));
  }

  /**
   * Sends a message. If this member does not consider the receiver alive, or the receiver has restarted, the
   * message also carries the state recorded here for the receiver, so that the receiver can refute it.
   */
  void send(Peer to, Kind kind, long number, String target) {
    send(to, kind, number, target, List.of());
  }

  /** Sends a message that carries the given updates before all others. */
  void send(Peer to, Kind kind, long number, String target, List<MemberState> priorityUpdates) {
    List<MemberState> updates = new ArrayList<>(priorityUpdates);
    if (to.state.status() != Status.ALIVE || to.hasStaleIncarnation()) {
      updates.add(to.state);
    }
    Peer targetPeer = table.get(target); // the receiver may get no message from the target itself
    if (targetPeer != null) {
      updates.add(targetPeer.state);
    }
    updates.addAll(queue.next(MAX_UPDATES_PER_MESSAGE - updates.size(), 1 + table.live().size()));
    actions.add(new Send(to.state, new Message(kind, number, local.state(), target, updates)));
  }

  /**
   * Exchanges whole views with a member, unless the minimum interval since the last exchange has not passed.
   */
  void exchange(Peer peer, double now) {
    if (now - lastExchangeAt >= MIN_EXCHANGE_INTERVAL_MS) {
      lastExchangeAt = now;
      actions.add(new Exchange(peer.state));
    }
  }
}

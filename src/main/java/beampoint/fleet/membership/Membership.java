package beampoint.fleet.membership;

import beampoint.fleet.membership.MemberEvent.Leave;
import beampoint.fleet.membership.MemberEvent.Received;
import beampoint.fleet.membership.MemberEvent.Tick;
import beampoint.fleet.membership.MemberEvent.ViewReceived;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Message.Kind;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Membership and failure detection as seen by one member: SWIM (Das, Gupta, Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with the additions of Lifeguard
 * (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017):
 * confirmed suspicions time out sooner, a suspected member is informed with the next probe, and a member that
 * may itself be isolated suspects no other. A state machine: takes a time and an event, returns actions. All
 * times are in ms.
 *
 * <p>An event costs O(log N) in a fleet of N. Whole views cost O(N), and so do references moved in an index
 * when a member joins or leaves. A pause or the end of a possible isolation restarts all current suspicions.
 */
public final class Membership {

  private static final double DEAD_PROBE_INTERVAL_MS = 1_000; // one random dead member is probed per interval
  private static final double EXCHANGE_INTERVAL_MS = 30_000; // interval in fleets up to the reference size
  private static final int REFERENCE_FLEET_SIZE = 100; // members

  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private final MemberTable table;
  private final LocalMember local;
  private final Gossip gossip;
  private final SuspicionHandler suspicions;
  private final Prober prober;
  private double now;
  private double lastEventAt;
  private double nextDeadProbeAt;
  private double nextExchangeAt;
  private boolean hasLeft;

  /**
   * Creates a member.
   *
   * @param known other members whose addresses are known at the start; they may be dead or have left
   */
  public Membership(MembershipSettings settings, String name, String address, List<MemberState> known,
      UniformRandomProvider random, double now) {
    this.settings = settings;
    this.random = random;
    this.table = new MemberTable(settings.maxMembers());
    this.local = new LocalMember(settings, name, address, now);
    this.gossip = new Gossip(table, local, random);
    this.suspicions = new SuspicionHandler(settings, table, local, gossip);
    this.prober = new Prober(settings, table, local, gossip, suspicions, random, now);
    this.now = now;
    this.lastEventAt = now;
    this.nextDeadProbeAt = now;
    this.nextExchangeAt = now;
    known.stream().filter(update -> !update.member().equals(name)).forEach(this::addKnown);
    gossip.enqueueSelf();
  }

  private void addKnown(MemberState update) {
    Peer peer = table.get(update.member()) == null ? table.add(update) : null;
    if (peer != null) {
      suspicions.beginIfSuspected(peer, 0);
    }
  }

  /** Handles one event and returns the resulting actions. The time must not decrease between calls. */
  public List<MemberAction> handle(double time, MemberEvent event) {
    now = time;
    handlePause();
    if (hasLeft) {
      return List.of();
    }
    if (event instanceof Tick) {
      tick();
    } else if (event instanceof Received e) {
      receive(e.message());
    } else if (event instanceof ViewReceived e) {
      local.messageReceived(now);
      e.view().forEach(this::apply);
    } else if (event instanceof Leave) {
      leave();
    }
    return gossip.takeActions();
  }

  /** The state that this member announces of itself. */
  public MemberState self() {
    return local.state();
  }

  /** The whole view, including this member. */
  public List<MemberState> view() {
    List<MemberState> view = new ArrayList<>(1 + table.all().size());
    view.add(local.state());
    table.all().forEach(peer -> view.add(peer.state));
    return view;
  }

  /** The number of alive or suspected members in this member's view, including itself. */
  public int liveCount() {
    return 1 + table.live().size();
  }

  /** True while this member may be cut off from the others, or all others are dead. */
  public boolean mayBeIsolated() {
    return local.mayBeIsolated();
  }

  /**
   * Detects a pause of this process between two events. Probes that were pending during the pause are dropped
   * and suspicions restarted, because answers that arrived meanwhile have not been read.
   */
  private void handlePause() {
    double gap = now - lastEventAt;
    lastEventAt = now;
    if (gap > settings.pauseThreshold()) {
      prober.clear();
      local.messageReceived(now);
      suspicions.restartAll(now);
    }
  }

  private void tick() {
    checkOwnHealth();
    prober.handleTimeouts(now);
    suspicions.tick(now);
    prober.startDueProbes(now);
    if (now >= nextDeadProbeAt) {
      nextDeadProbeAt = now + DEAD_PROBE_INTERVAL_MS;
      table.dead().draw(1, random, null).forEach(peer -> gossip.send(peer, Kind.PING, 0, ""));
    }
    if (now >= nextExchangeAt) {
      nextExchangeAt = now + exchangeInterval();
      table.live().draw(1, random, null).forEach(peer -> gossip.exchange(peer, now));
    }
    gossip.tick();
  }

  /**
   * The interval between exchanges of whole views. Above the reference size it grows in proportion to the
   * fleet, as the length of a view does, so that exchanges cost a member the same bytes per second in every
   * larger fleet. With a fixed interval, they would exceed the bandwidth limit of all control traffic,
   * although they repair only what gossip has missed.
   */
  private double exchangeInterval() {
    return EXCHANGE_INTERVAL_MS * Math.max(1, (double) liveCount() / REFERENCE_FLEET_SIZE);
  }

  /**
   * A member that receives no messages will soon be suspected and will not learn of it. It refutes in
   * advance, with rising incarnations, and announces that it cannot answer probes.
   */
  private void checkOwnHealth() {
    boolean notReceiving = local.isNotReceiving(now, !table.live().isEmpty());
    if (local.needsAnnouncement(notReceiving, now)) {
      refute(local.state().incarnation(), notReceiving);
    }
    // Without this restart, members whose suspicion expired during a possible isolation would be declared
    // dead at once.
    if (local.isolationEnded()) {
      suspicions.restartAll(now);
    }
  }

  private void refute(long incarnation, boolean notReceiving) {
    local.raiseIncarnation(incarnation, notReceiving, now);
    gossip.enqueueSelf();
  }

  private void receive(Message message) {
    String from = message.from().member();
    if (from.equals(local.name())) {
      return;
    }
    local.messageReceived(now);
    apply(message.from());
    Peer sender = table.get(from);
    if (sender == null) {
      return;
    }
    sender.lastDatagramAt = now;
    sender.announcedIncarnation = Math.max(sender.announcedIncarnation, message.from().incarnation());
    boolean wasReportedDeadOrLeft = message.updates().stream().anyMatch(this::reportsThisMemberDeadOrLeft);
    message.updates().forEach(this::apply);
    if (wasReportedDeadOrLeft) {
      gossip.exchange(sender, now); // each side may have missed further updates
    }
    switch (message.kind()) {
      case PING -> gossip.send(sender, Kind.ACK, message.number(), message.target());
      case ACK -> prober.ackReceived(message);
      case RELAY -> prober.relayProbe(sender, message, now);
      default -> {
      }
    }
    if ((sender.hasStaleIncarnation() || !sender.isLive()) && message.kind() != Kind.ACK) {
      gossip.send(sender, Kind.GOSSIP, 0, ""); // carries its state as known here, for it to refute
    }
  }

  private boolean reportsThisMemberDeadOrLeft(MemberState update) {
    return update.member().equals(local.name()) && !Peer.isLive(update.status())
        && update.incarnation() >= local.state().incarnation();
  }

  private void apply(MemberState update) {
    if (update.member().equals(local.name())) {
      applyToSelf(update);
      return;
    }
    Peer peer = table.get(update.member());
    if (peer == null) {
      applyNewMember(update);
    } else if (update.status() == Status.SUSPECT) {
      suspicions.suspect(peer, update.incarnation(), update.reporter(), now);
    } else if (update.status() == Status.DEAD && peer.state.status() == Status.ALIVE) {
      // No suspicion preceded this report, so it may come from the other side of a network partition.
      prober.verifyDeath(peer, update);
    } else if (update.overrides(peer.state)) {
      applyChange(peer, update);
    }
  }

  private void applyToSelf(MemberState update) {
    boolean isAlive = update.status() == Status.ALIVE;
    long own = local.state().incarnation();
    if (update.incarnation() > own || !isAlive && update.incarnation() == own) {
      refute(update.incarnation(), local.state().notReceiving());
    } else if (!isAlive) {
      gossip.enqueueSelf(); // refuted before, but not all members know
    }
  }

  private void applyNewMember(MemberState update) {
    Peer peer = Peer.isLive(update.status()) ? table.add(update) : null;
    if (peer != null) {
      peer.aliveReportAcceptedAt = now;
      suspicions.beginIfSuspected(peer, now);
      gossip.memberAdded(peer);
    }
  }

  private void applyChange(Peer peer, MemberState update) {
    if (update.status() == Status.ALIVE) {
      peer.aliveReportAcceptedAt = now;
    }
    suspicions.replaceState(peer, update);
  }

  /** Leaves the fleet in an orderly shutdown. */
  private void leave() {
    local.leave();
    gossip.enqueueSelf();
    gossip.sendLeave();
    hasLeft = true;
  }
}

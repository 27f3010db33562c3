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
 * Who lives, as one member sees it: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-
 * style Process Group Membership Protocol", 2002) with what Lifeguard adds (Dadgar, Phillips, Currey,
 * "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017): suspicions that are
 * confirmed run out sooner, who is suspected is told so with the next probe, and a member that has reason to
 * doubt itself accuses nobody. A state machine: a time and an event in, actions out.
 *
 * <p>An event costs O(log N) in a fleet of N. Whole views cost O(N), and a member that comes or goes moves
 * the references of an index; a pause or the end of a doubt restarts all suspicions there are.
 */
public final class Membership {

  private static final double REACH_OUT_EVERY = 1_000; // ms, to one that is held for dead
  private static final double EXCHANGE_EVERY = 30_000; // ms, with one that lives, in a fleet of usual size
  private static final int USUAL_SIZE = 100; // members, up to which whole views are exchanged that often

  private final MembershipSettings terms;
  private final UniformRandomProvider random;
  private final MemberTable table;
  private final LocalMember local;
  private final Gossip gossip;
  private final SuspicionHandler suspicions;
  private final Prober prober;
  private double now;
  private double lastEventAt;
  private double reachOutAt;
  private double exchangeAt;
  private boolean hasLeft;

  /** One member that knows the addresses of some others, which may be gone. */
  public Membership(MembershipSettings terms, String name, String address, List<MemberState> known,
      UniformRandomProvider random, double now) {
    this.terms = terms;
    this.random = random;
    this.table = new MemberTable(terms.mostMembers());
    this.local = new LocalMember(terms, name, address, now);
    this.gossip = new Gossip(table, local, random);
    this.suspicions = new SuspicionHandler(terms, table, local, gossip);
    this.prober = new Prober(terms, table, local, gossip, suspicions, random, now);
    this.now = now;
    this.lastEventAt = now;
    this.reachOutAt = now;
    this.exchangeAt = now;
    known.stream().filter(news -> !news.member().equals(name)).forEach(this::addKnown);
    gossip.spreadSelf();
  }

  private void addKnown(MemberState news) {
    Peer peer = table.get(news.member()) == null ? table.add(news) : null;
    if (peer != null) {
      suspicions.begin(peer, 0);
    }
  }

  /** Takes one event; the time never goes back. */
  public List<MemberAction> handle(double time, MemberEvent event) {
    now = time;
    noticePause();
    if (hasLeft) {
      return List.of();
    }
    if (event instanceof Tick) {
      tick();
    } else if (event instanceof Received e) {
      receive(e.message());
    } else if (event instanceof ViewReceived e) {
      local.heardSomebody(now);
      e.view().forEach(this::learn);
    } else if (event instanceof Leave) {
      leave();
    }
    return gossip.takeActions();
  }

  /** This member, as it tells of itself. */
  public MemberState self() {
    return local.news();
  }

  /** The whole view, itself included. */
  public List<MemberState> view() {
    List<MemberState> view = new ArrayList<>(1 + table.all().size());
    view.add(local.news());
    table.all().forEach(peer -> view.add(peer.news));
    return view;
  }

  /** How many live in this member's view, itself included. */
  public int liveCount() {
    return 1 + table.living().size();
  }

  /** True while this member has reason to think that it is cut off, or that all others are gone. */
  public boolean mayBeIsolated() {
    return local.mayBeIsolated();
  }

  /** Guards against a process that stood still, and wakes to find that nobody has answered in its absence. */
  private void noticePause() {
    double gap = now - lastEventAt;
    lastEventAt = now;
    if (gap > terms.stillAfter()) {
      prober.clear();
      local.heardSomebody(now);
      suspicions.restartAll(now);
    }
  }

  private void tick() {
    checkOwnHealth();
    prober.endOverdue(now);
    suspicions.tick(now);
    prober.beginDue(now);
    if (now >= reachOutAt) {
      reachOutAt = now + REACH_OUT_EVERY;
      table.dead().draw(1, random, null).forEach(peer -> gossip.send(peer, Kind.PING, 0, ""));
    }
    if (now >= exchangeAt) {
      exchangeAt = now + exchangeInterval();
      table.living().draw(1, random, null).forEach(peer -> gossip.exchange(peer, now));
    }
    gossip.tick();
  }

  /**
   * Grows with the fleet beyond the usual size, so that whole views cost a member the same bytes a second in
   * every larger one. Guards against views that take more than all control may: each is as long as the fleet
   * is large, and repairs only what gossip has missed.
   */
  private double exchangeInterval() {
    return EXCHANGE_EVERY * Math.max(1, (double) liveCount() / USUAL_SIZE);
  }

  /**
   * Who hears nobody is suspected before long, and will not hear of it: it refutes ahead, under ever higher
   * incarnations, and tells the others not to wait for its answers.
   */
  private void checkOwnHealth() {
    boolean deaf = local.isDeaf(now, !table.living().isEmpty());
    if (local.hasToTell(deaf, now)) {
      refute(local.news().incarnation(), deaf);
    }
    // Guards against suspicions that ran out in doubt, and would kill at the moment at which it ends.
    if (local.doubtHasEnded()) {
      suspicions.restartAll(now);
    }
  }

  private void refute(long incarnation, boolean deaf) {
    local.raiseAbove(incarnation, deaf, now);
    gossip.spreadSelf();
  }

  private void receive(Message message) {
    String from = message.from().member();
    if (from.equals(local.name())) {
      return;
    }
    local.heardSomebody(now);
    learn(message.from());
    Peer sender = table.get(from);
    if (sender == null) {
      return;
    }
    sender.heardAt = now;
    sender.said = Math.max(sender.said, message.from().incarnation());
    boolean wasHeldForGone = message.news().stream().anyMatch(this::saysThisIsGone);
    message.news().forEach(this::learn);
    if (wasHeldForGone) {
      gossip.exchange(sender, now); // what else it missed; and the sender may hold others for gone as well
    }
    switch (message.kind()) {
      case PING -> gossip.send(sender, Kind.ACK, message.number(), message.about());
      case ACK -> prober.answered(message);
      case RELAY -> prober.relay(sender, message, now);
      default -> {
      }
    }
    if ((sender.isBehind() || !sender.isLiving()) && message.kind() != Kind.ACK) {
      gossip.send(sender, Kind.GOSSIP, 0, ""); // it is told what is said of it, and refutes
    }
  }

  private boolean saysThisIsGone(MemberState news) {
    return news.member().equals(local.name()) && !Peer.isLiving(news.status())
        && news.incarnation() >= local.news().incarnation();
  }

  private void learn(MemberState news) {
    if (news.member().equals(local.name())) {
      learnOfItself(news);
      return;
    }
    Peer peer = table.get(news.member());
    if (peer == null) {
      learnOfNew(news);
    } else if (news.status() == Status.SUSPECT) {
      suspicions.suspect(peer, news.incarnation(), news.reporter(), now);
    } else if (news.status() == Status.DEAD && peer.news.status() == Status.ALIVE) {
      // Its suspicion was not heard of, so this may come from the other side of a cut.
      prober.askAbout(peer, news);
    } else if (news.overrides(peer.news)) {
      learnOfChange(peer, news);
    }
  }

  private void learnOfItself(MemberState news) {
    boolean isAlive = news.status() == Status.ALIVE;
    long own = local.news().incarnation();
    if (news.incarnation() > own || !isAlive && news.incarnation() == own) {
      refute(news.incarnation(), local.news().notReceiving());
    } else if (!isAlive) {
      gossip.spreadSelf(); // it was refuted before, and not all have heard of that
    }
  }

  private void learnOfNew(MemberState news) {
    Peer peer = Peer.isLiving(news.status()) ? table.add(news) : null;
    if (peer != null) {
      peer.freshAt = now;
      suspicions.begin(peer, now);
      gossip.added(peer);
    }
  }

  private void learnOfChange(Peer peer, MemberState news) {
    if (news.status() == Status.ALIVE) {
      peer.freshAt = now;
    }
    suspicions.clear(peer, news);
  }

  /** Ends in order. */
  private void leave() {
    local.leave();
    gossip.spreadSelf();
    gossip.sendToManyAtTheEnd();
    hasLeft = true;
  }
}

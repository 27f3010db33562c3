package beampoint.fleet.membership;

import beampoint.fleet.membership.MemberAction.Changed;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.membership.MemberEvent.Leave;
import beampoint.fleet.membership.MemberEvent.Received;
import beampoint.fleet.membership.MemberEvent.Tick;
import beampoint.fleet.membership.MemberEvent.ViewReceived;
import beampoint.fleet.membership.Probes.Probe;
import beampoint.fleet.membership.Probes.Relayed;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Message.Kind;
import beampoint.fleet.message.News;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Who lives, as one member sees it: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-
 * style Process Group Membership Protocol", 2002) with what Lifeguard adds (Dadgar, Phillips, Currey,
 * "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017): suspicions that are
 * confirmed run out sooner, who is suspected is told so with the next probe, and a member that has reason to
 * doubt itself accuses nobody. A state machine: a time and an event in, actions out.
 */
public final class Membership {

  private static final int HELPERS = 3; // that are asked to try a member which gave no direct answer
  private static final int FANOUT = 3; // members that are sent news in a step
  private static final int NEWS_IN_A_MESSAGE = 10;
  private static final int ENOUGH_ACCUSERS = 3; // after which a suspicion runs out soonest
  private static final double LONGEST_SUSPICION = 2; // times the least, with one accuser
  private static final double REACH_OUT_EVERY = 1_000; // ms, to one that is held for dead
  private static final double EXCHANGE_EVERY = 30_000; // ms, with one that lives
  private static final double EXCHANGE_GAP = 500; // ms between two at the least

  private final MemberTerms terms;
  private final UniformRandomProvider random;
  private final Roster roster;
  private final Probes probes = new Probes();
  private final Rumours rumours = new Rumours();
  private final List<MemberAction> out = new ArrayList<>();
  private final List<String> turn = new ArrayList<>(); // whom to probe next, drawn anew each round
  private News self;
  private double now;
  private double lastEventAt;
  private double heardAt; // anybody
  private double probeAt;
  private double reachOutAt;
  private double exchangeAt;
  private double exchangedAt = Double.NEGATIVE_INFINITY;
  private double raisedAt = Double.NEGATIVE_INFINITY;
  private int failuresInARow;
  private boolean doubted;
  private boolean left;

  /** One member that knows the addresses of some others, which may be gone. */
  public Membership(MemberTerms terms, String name, String address, List<News> known,
      UniformRandomProvider random, double now) {
    this.terms = terms;
    this.random = random;
    this.roster = new Roster(terms.mostMembers());
    this.self = new News(name, address, Status.ALIVE, 1, false, name);
    this.now = now;
    this.lastEventAt = now;
    this.heardAt = now;
    this.probeAt = now + random.nextDouble() * terms.probeEvery();
    this.reachOutAt = now;
    this.exchangeAt = now;
    known.stream().filter(n -> !n.member().equals(name)).forEach(roster::add);
    rumours.add(self);
  }

  /** Takes one event; the time never goes back. */
  public List<MemberAction> handle(double time, MemberEvent event) {
    now = time;
    out.clear();
    noticePause();
    if (left) {
      return List.of();
    }
    if (event instanceof Tick) {
      tick();
    } else if (event instanceof Received e) {
      receive(e.message());
    } else if (event instanceof ViewReceived e) {
      heardAt = now;
      e.view().forEach(this::learn);
    } else if (event instanceof Leave) {
      leave();
    }
    return List.copyOf(out);
  }

  /** This member, as it tells of itself. */
  public News self() {
    return self;
  }

  /** The whole view, itself included. */
  public List<News> view() {
    List<News> view = new ArrayList<>();
    view.add(self);
    roster.all().forEach(p -> view.add(p.news));
    return view;
  }

  /** How many live in this member's view, itself included. */
  public int living() {
    return 1 + roster.living().size();
  }

  /** True while this member has reason to think that it is cut off, or that all others are gone. */
  public boolean doubtsItself() {
    return self.deaf() || failuresInARow >= terms.failuresOfDoubt();
  }

  /** Guards against a process that stood still, and wakes to find that nobody has answered in its absence. */
  private void noticePause() {
    double gap = now - lastEventAt;
    lastEventAt = now;
    if (gap > terms.stillAfter()) {
      probes.clear();
      heardAt = now;
      suspectAnew();
    }
  }

  /** What was not heard meanwhile tells nothing: who is suspected gets its whole time again. */
  private void suspectAnew() {
    for (Peer peer : roster.all()) {
      peer.suspectedAt = now;
      peer.askedLast = false;
    }
  }

  // ---- Steps ----------------------------------------------------------------------------------------------

  private void tick() {
    listenToItself();
    endProbes();
    endSuspicions();
    if (now >= probeAt) {
      probeAt = Math.max(probeAt + terms.probeEvery(), now);
      Peer successor = roster.successor(self.member());
      if (successor != null) {
        probe(successor);
        probe(nextInTurn());
      }
    }
    if (now >= reachOutAt) {
      reachOutAt = now + REACH_OUT_EVERY;
      draw(1, p -> p.news.status() == Status.DEAD).forEach(p -> send(p, Kind.PING, 0, ""));
    }
    if (now >= exchangeAt) {
      exchangeAt = now + EXCHANGE_EVERY;
      draw(1, Roster::lives).forEach(this::exchange);
    }
    if (!rumours.isEmpty()) {
      draw(FANOUT, Roster::lives).forEach(p -> send(p, Kind.GOSSIP, 0, ""));
    }
  }

  /**
   * Who hears nobody is suspected before long, and will not hear of it: it refutes ahead, under ever higher
   * incarnations, and tells the others not to wait for its answers.
   */
  private void listenToItself() {
    boolean deaf = now - heardAt > terms.deafAfter() && !roster.living().isEmpty();
    if (deaf && now - raisedAt >= 1_000 || !deaf && self.deaf()) {
      raise(self.incarnation() + 1, deaf);
    }
    // Guards against suspicions that ran out in doubt, and would kill at the moment at which it ends.
    if (doubted && !doubtsItself()) {
      suspectAnew();
    }
    doubted = doubtsItself();
  }

  private void raise(long incarnation, boolean deaf) {
    raisedAt = now;
    self = new News(self.member(), self.address(), self.status(), incarnation, deaf, self.member());
    rumours.add(self);
  }

  private Peer nextInTurn() {
    if (turn.isEmpty()) {
      roster.living().forEach(p -> turn.add(random.nextInt(turn.size() + 1), p.news.member()));
    }
    while (!turn.isEmpty()) {
      Peer next = roster.get(turn.remove(turn.size() - 1));
      if (next != null && Roster.lives(next)) {
        return next;
      }
    }
    return null;
  }

  private void probe(Peer target) {
    if (target == null || probes.isOut(target.news.member()) || isKnownDeaf(target)) {
      return;
    }
    long number = probes.begin(new Probe(target.news.member(), now + terms.answerWithin(),
        now + terms.probeEvery()));
    send(target, Kind.PING, number, "");
  }

  /** It has said of late that it hears nobody: it can't answer, and is not held to it. */
  private boolean isKnownDeaf(Peer peer) {
    return peer.news.deaf() && now - peer.freshAt < terms.suspectFor();
  }

  private void endProbes() {
    for (Map.Entry<Long, Probe> entry : List.copyOf(probes.own().entrySet())) {
      Probe probe = entry.getValue();
      Peer target = roster.get(probe.target);
      if (now >= probe.until) {
        probes.answered(entry.getKey());
        failuresInARow++;
        if (target != null && !doubtsItself() && !isKnownDeaf(target)) {
          suspect(target, target.news.incarnation(), self.member());
        }
      } else if (now >= probe.directUntil && !probe.relayed) {
        probe.relayed = true;
        draw(HELPERS, p -> Roster.lives(p) && p != target)
            .forEach(p -> send(p, Kind.RELAY, entry.getKey(), probe.target));
      }
    }
    for (Relayed over : probes.overdue(now)) {
      Peer asker = roster.get(over.asker());
      if (asker != null) {
        send(asker, Kind.NACK, over.askersNumber(), over.target());
      }
    }
  }

  // ---- Suspicions -----------------------------------------------------------------------------------------

  private void suspect(Peer peer, long incarnation, String by) {
    if (peer.news.status() == Status.ALIVE && incarnation >= peer.news.incarnation()) {
      peer.suspectedAt = now;
      peer.accusers.clear();
      peer.askedLast = false;
      changed(peer, peer.news.as(Status.SUSPECT, by));
    }
    if (peer.news.status() == Status.SUSPECT && incarnation >= peer.news.incarnation()
        && peer.accusers.size() < ENOUGH_ACCUSERS && peer.accusers.add(by)) {
      rumours.add(peer.news.as(Status.SUSPECT, by));
    }
  }

  /** The fewer accuse it, the longer it has to refute. */
  private double suspicion(Peer peer) {
    int possible = Math.min(ENOUGH_ACCUSERS, living() - 2);
    if (possible <= 1) {
      return terms.suspectFor();
    }
    double part = Math.log(Math.max(1, peer.accusers.size())) / Math.log(possible);
    double longest = terms.suspectFor() * LONGEST_SUSPICION;
    return Math.max(terms.suspectFor(), longest - (longest - terms.suspectFor()) * part);
  }

  private void endSuspicions() {
    for (Peer peer : roster.all()) {
      if (peer.news.status() != Status.SUSPECT) {
        continue;
      }
      double left = peer.suspectedAt + suspicion(peer) - now;
      if (left <= terms.probeEvery() && !peer.askedLast) {
        peer.askedLast = true;
        send(peer, Kind.PING, 0, "");
      } else if (left <= 0 && !doubtsItself() && peer.heardAt < peer.suspectedAt) {
        changed(peer, peer.news.as(Status.DEAD, self.member()));
      }
    }
  }

  // ---- What comes -----------------------------------------------------------------------------------------

  private void receive(Message message) {
    String from = message.from().member();
    if (from.equals(self.member())) {
      return;
    }
    heardAt = now;
    learn(message.from());
    Peer sender = roster.get(from);
    if (sender == null) {
      return;
    }
    sender.heardAt = now;
    sender.said = Math.max(sender.said, message.from().incarnation());
    message.news().forEach(this::learn);
    switch (message.kind()) {
      case PING -> send(sender, Kind.ACK, message.number(), message.about());
      case ACK -> answered(message);
      case RELAY -> relay(sender, message);
      default -> { }
    }
    if ((isBehind(sender) || !Roster.lives(sender)) && message.kind() != Kind.ACK) {
      send(sender, Kind.GOSSIP, 0, ""); // it is told what is said of it, and refutes
    }
  }

  private void answered(Message message) {
    if (probes.answered(message.number()) != null) {
      failuresInARow = 0;
      return;
    }
    Relayed relayed = probes.answeredFor(message.number());
    Peer asker = relayed == null ? null : roster.get(relayed.asker());
    if (asker != null) {
      send(asker, Kind.ACK, relayed.askersNumber(), relayed.target());
    }
  }

  private void relay(Peer asker, Message message) {
    Peer target = roster.get(message.about());
    if (target != null) {
      long number = probes.begin(new Relayed(asker.news.member(), message.number(), message.about(),
          now + terms.probeEvery() - terms.answerWithin()));
      send(target, Kind.PING, number, "");
    }
  }

  private void learn(News news) {
    if (news.member().equals(self.member())) {
      if (news.status() != Status.ALIVE && news.incarnation() >= self.incarnation()
          || news.incarnation() > self.incarnation()) {
        raise(news.incarnation() + 1, self.deaf());
      } else if (news.status() != Status.ALIVE) {
        rumours.add(self); // it was refuted before, and not all have heard of that
      }
      return;
    }
    Peer peer = roster.get(news.member());
    if (peer == null) {
      peer = Roster.lives(new Peer(news)) ? roster.add(news) : null;
      if (peer != null) {
        peer.freshAt = now;
        peer.suspectedAt = now;
        rumours.add(news);
        out.add(new Changed(news));
      }
    } else if (news.status() == Status.SUSPECT) {
      suspect(peer, news.incarnation(), news.by());
    } else if (news.overrides(peer.news)) {
      boolean returns = !Roster.lives(peer) && news.status() == Status.ALIVE;
      peer.freshAt = news.status() == Status.ALIVE ? now : peer.freshAt;
      changed(peer, news);
      if (returns) {
        exchange(peer);
      }
    }
  }

  private void changed(Peer peer, News news) {
    boolean otherwise = peer.news.status() != news.status() || peer.news.deaf() != news.deaf();
    peer.news = news;
    rumours.add(news);
    if (otherwise) {
      out.add(new Changed(news));
    }
  }

  private void exchange(Peer peer) {
    if (now - exchangedAt >= EXCHANGE_GAP) {
      exchangedAt = now;
      out.add(new Exchange(peer.news));
    }
  }

  /** Tells many at once, as nobody will pass it on for a process that is gone. */
  private void leave() {
    self = self.as(Status.LEFT, self.member());
    rumours.add(self);
    draw(FANOUT * FANOUT, Roster::lives).forEach(p -> send(p, Kind.GOSSIP, 0, ""));
    left = true;
  }

  // ---- Sending --------------------------------------------------------------------------------------------

  /** Any so many of the members of whom it holds. */
  private List<Peer> draw(int count, Predicate<Peer> of) {
    List<Peer> all = new ArrayList<>(roster.all().stream().filter(of).toList());
    List<Peer> drawn = new ArrayList<>();
    while (drawn.size() < count && !all.isEmpty()) {
      int chosen = random.nextInt(all.size());
      drawn.add(all.set(chosen, all.get(all.size() - 1)));
      all.remove(all.size() - 1);
    }
    return drawn;
  }

  /** It has started anew, and does not know what is said of it. */
  private static boolean isBehind(Peer peer) {
    return peer.said > 0 && peer.said < peer.news.incarnation();
  }

  /** Who is suspected, or held for dead, or has started anew, is told so with whatever it is sent. */
  private void send(Peer to, Kind kind, long number, String about) {
    List<News> news = new ArrayList<>();
    if (to.news.status() != Status.ALIVE || isBehind(to)) {
      news.add(to.news);
    }
    Peer asked = roster.get(about); // who asked for it may hear nothing of that one by itself
    if (asked != null) {
      news.add(asked.news);
    }
    news.addAll(rumours.next(NEWS_IN_A_MESSAGE - news.size(), living()));
    out.add(new Send(to.news, new Message(kind, number, self, about, news)));
  }
}

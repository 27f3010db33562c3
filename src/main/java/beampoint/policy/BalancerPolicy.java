package beampoint.policy;

import beampoint.Balancer;
import beampoint.policy.slowstart.SlowStart;
import beampoint.policy.idempotency.RetrySafety;
import beampoint.policy.health.EndpointHealth;
import beampoint.policy.hostlist.HostListSubscription;
import beampoint.policy.ring.Ring;
import beampoint.policy.priority.RequestPriority;
import beampoint.policy.state.Attempt;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The front of the decision module, one instance a balancer: takes events, and decides with the parts of this
 * package where a request goes, whether it is retried, and when it is given up.
 */
public final class BalancerPolicy implements Balancer {

  private static final double SPILL_FACTOR = 2; // a primary spills above this multiple of the mean in flight
  private static final int SPILL_EXTRA = 2; // and at least so many over it
  private static final double PROBE_PART = 0.1; // of the time left that a probe may take
  private static final double PROBE_GAIN = 0.5; // of a request's worth that a probe saves, where one is bad
  private static final double RETRY_SHARE = 0.2; // further attempts after a failure, of requests
  private static final double RETRY_SAVED = 3; // the most saved up
  private static final double USE_FADE = 30_000; // in ms: that a connection was used counts half
  private static final double PRIOR = 2; // uses of a connection, before any are known

  final PolicyState facts = new PolicyState();
  private final List<Action> out = facts.out;
  private final EndpointHealth evidence = new EndpointHealth(facts);
  private final SlowStart cold = new SlowStart(facts);
  private final Ring ring = new Ring(facts, cold);
  private final HostListSubscription hosts = new HostListSubscription(facts);
  private final RequestPriority shares = new RequestPriority(facts, evidence);
  private final Map<Long, Request> requests = new HashMap<>();
  private final List<Node> idle = new ArrayList<>(); // endpoints with perhaps an idle connection
  private double retryBudget = 1;

  public BalancerPolicy(Settings settings) {
    facts.take(new SettingsChanged(settings, List.of(), Collections.nCopies(settings.tenants().size(), -1)));
  }

  @Override
  public List<Action> handle(double time, Event event) {
    facts.now = time;
    facts.startedAt = Math.min(facts.startedAt, time);
    out.clear();
    if (event instanceof ListReceived e && hosts.onList(e)) {
      ring.update();
      facts.forgetGone();
    } else if (event instanceof RequestReceived e) {
      onRequest(e);
    } else if (event instanceof AttemptEnded e) {
      onAttemptEnded(e);
    } else if (event instanceof RequestGone e && requests.containsKey(e.id())) {
      finish(requests.get(e.id()));
    } else if (event instanceof ProbeEnded e) {
      onProbeEnded(e);
    } else if (event instanceof TimerFired e) {
      onTimer(e.token());
    } else if (event instanceof BanChanged e) {
      facts.take(e);
      ring.update();
      out.add(new CloseIdle(e.endpoint()));
    } else if (event instanceof ShareChanged e) {
      facts.share = e.part();
    } else if (event instanceof SettingsChanged e) {
      facts.take(e);
      ring.update();
    }
    closeIdle();
    return List.copyOf(out);
  }

  /** The primary, or the next distinct cache when that one is busy; null if neither can take it. */
  private Node pick(Request r) {
    ring.step();
    Node primary = ring.place(r, 0);
    if (primary == null) {
      return null;
    }
    double mean = (double) facts.outAtCaches / facts.caches.size();
    boolean spills = primary.inFlight > SPILL_FACTOR * mean && primary.inFlight >= mean + SPILL_EXTRA;
    boolean primaryHasRoom = evidence.hasRoom(primary, r);
    if (primaryHasRoom && !spills) {
      return primary;
    }
    Node second = ring.place(r, 1);
    if (second != null && evidence.hasRoom(second, r)) {
      return second;
    }
    if (primaryHasRoom) {
      return primary;
    }
    // Guards against refusals in a fleet with room, where a key's two caches are behind for a moment.
    boolean nearer = second == null || evidence.expectedTime(primary) <= evidence.expectedTime(second);
    Node sooner = nearer ? primary : second;
    double left = (r.aimAt - facts.now) * evidence.punctuality(sooner);
    return !r.yields && evidence.expectedTime(sooner) <= left ? sooner : null;
  }

  /**
   * Guards against a busy primary of which this balancer has too little evidence: a probe asks first, where
   * that is worth its price. While caches do well, it would cost each request time and spare few a bad one.
   */
  private boolean ask(Request r, Node node) {
    double gain = PROBE_GAIN * r.type.worth() * evidence.badShare();
    if (!facts.settings.limits().probes() || r.attempts > 0 || gain <= facts.settings.prices().probe()
        || evidence.isKnown(node)) {
      return false;
    }
    r.asked = node;
    if (node.askers.isEmpty()) {
      out.add(new Probe(node.entry.id()));
    }
    node.askers.add(r);
    out.add(new SetTimer(Math.max(0, PROBE_PART * (Math.min(r.aimAt, r.deadline) - facts.now)), r.id));
    return true;
  }

  private void onProbeEnded(ProbeEnded e) {
    Node node = facts.nodes.get(e.endpoint());
    if (node == null) {
      return;
    }
    evidence.onProbe(node, e.result());
    List<Request> askers = List.copyOf(node.askers);
    node.askers.clear();
    for (Request r : askers) {
      if (r.asked == node) {
        sendOrGiveUp(r, e.result() == Result.OK && node.isCache() ? node : pick(r));
      }
    }
  }

  private Node openOrigin(Request r) {
    boolean room = facts.origin != null && evidence.hasRoom(facts.origin, r);
    if (!room) {
      ring.strain();
    }
    return room && facts.now < RetrySafety.startBy(r, facts.origin) ? facts.origin : null;
  }

  private void onRequest(RequestReceived e) {
    RequestClass type = facts.settings.classes().get(e.requestClass());
    Request r = new Request(e, type, facts.settings.limits().maxAttempts(), facts.now,
        facts.random.nextDouble());
    r.yields = shares.yields(e, r);
    requests.put(r.id, r);
    ring.take(r);
    facts.taken.add(facts.now, EndpointHealth.MAX_FADE, 1);
    retryBudget = Math.min(RETRY_SAVED, retryBudget + RETRY_SHARE);
    dispatch(r);
  }

  /** A read goes to its cache, a write to the origin; so does a read while any cache may drain. */
  private void dispatch(Request r) {
    boolean skipsCaches = r.write && facts.settings.originKind() >= 0 || facts.listUnconfirmed;
    Node node = r.overflow ? null : skipsCaches ? openOrigin(r) : pick(r);
    if (node == null || node.origin || !ask(r, node)) {
      sendOrGiveUp(r, node);
    }
  }

  private void sendOrGiveUp(Request r, Node node) {
    if (node == null) {
      giveUp(r);
      return;
    }
    r.asked = null;
    facts.sent(r, node);
    node.uses.add(facts.now, USE_FADE, 1);
    cold.sent(node);
    // A late read earns nothing: its end frees a place in a queue, and tells of a jam. A write's is awaited.
    double limit = r.type.idempotency() == Idempotency.SAFE ? Math.max(1, r.usefulUntil - facts.now) : 0;
    out.add(new Send(r.id, node.entry.id(), limit, RetrySafety.startBy(r, node)));
  }

  private void onAttemptEnded(AttemptEnded e) {
    Request r = requests.get(e.id());
    Attempt attempt = r == null ? null : r.attempt(e.attempt());
    if (attempt == null) {
      return;
    }
    boolean answered = e.result() == Result.OK || e.result() == Result.MISS;
    facts.completed(r, attempt, answered);
    idle.remove(attempt.node);
    idle.add(attempt.node);
    cold.ended(e.result() == Result.OK);
    evidence.onOutcome(attempt, e);
    if (attempt.node.origin && e.result() != Result.OK) {
      ring.strain();
    }
    if (!e.result().neverRan && r.mayHaveRunAt == null) {
      r.mayHaveRunAt = attempt.node;
      r.mayHaveRunSince = attempt.sentAt;
    }
    if (r.over || e.done()) {
      finish(r);
    } else if (r.out.isEmpty() && e.result() == Result.MISS) {
      sendOrGiveUp(r, r.attempts < r.maxAttempts ? openOrigin(r) : null);
    } else if (r.out.isEmpty()) {
      onFailure(r, attempt.node, e.result());
    }
  }

  /** Held while used often enough for its price. */
  private boolean worthHolding(Node node) {
    double rate = facts.taken.rate(facts.now, EndpointHealth.MAX_FADE);
    double hold = 100_000 * facts.caches.size() * facts.settings.prices().handshake();
    // As many uses as an even share brings stand in for what was not seen yet.
    double seen = (1 - Math.pow(0.5, (facts.now - facts.startedAt) / USE_FADE)) * USE_FADE / Math.log(2);
    double known = PRIOR + node.uses.count(facts.now, USE_FADE);
    double uses = known / (PRIOR * facts.caches.size() / rate + seen);
    double most = facts.quotas > 0 ? facts.quotas : Double.MAX_VALUE;
    double all = Math.min(1000 * rate * facts.settings.siblings(), most);
    return uses * hold >= facts.settings.prices().connection() * all;
  }

  private void closeIdle() {
    // Hosts that are gone leave the list too: those that come in their place have new names.
    idle.removeIf(node -> node.inFlight == 0
        && (!worthHolding(node) || node.ban.isOut() || node.entry.state() == EndpointState.GONE)
        && out.add(new CloseIdle(node.entry.id())));
  }

  private void onFailure(Request r, Node node, Result result) {
    // An origin without a free connection is asked after a pause: at once, all attempts would be gone.
    boolean full = node.origin && result == Result.CONNECT_FAILED;
    double next = facts.now + (full ? facts.random.nextDouble() * evidence.expectedTime(node) : 0);
    double price = result.neverRan ? 0 : 1; // what was turned away at once cost nobody work
    if (result == Result.NOT_SENT || next >= r.usefulUntil
        || retryBudget < price || r.attempts >= r.maxAttempts) {
      giveUp(r);
      return;
    }
    retryBudget -= price;
    if (full) {
      r.retryAt = next;
      out.add(new SetTimer(next - facts.now, r.id));
      return;
    }
    r.tried.add(node);
    sendOrGiveUp(r, node.origin ? openOrigin(r) : pick(r));
  }

  /** The one way to a final answer of this balancer's own: at once, a refusal where that is truthful. */
  private void giveUp(Request r) {
    double wait = facts.settings.limits().retryAdvice() ? facts.settings.limits().maxRetryAfter() : 0;
    out.add(RetrySafety.mayRefuse(r) ? new Refuse(r.id, wait) : new Fail(r.id));
    finish(r);
  }

  /** A request is kept until its last attempt has ended. */
  private void finish(Request r) {
    r.over = true;
    r.asked = null;
    if (r.out.isEmpty()) {
      requests.remove(r.id);
    }
  }

  private void onTimer(long token) {
    Request r = requests.get(token);
    if (!hosts.onTimer(token) && r != null && r.asked != null) {
      // A probe that is late means a busy cache: the request spills to the next distinct one.
      Node first = ring.place(r, 0);
      Node other = ring.place(r, first == r.asked ? 1 : 0);
      sendOrGiveUp(r, other == null ? first : other);
    } else if (r != null && !r.over && facts.now + 1 >= r.retryAt) {
      r.retryAt = Double.POSITIVE_INFINITY;
      sendOrGiveUp(r, openOrigin(r));
    }
  }
}

package beampoint.policy;

import beampoint.Balancer;
import beampoint.policy.health.EndpointHealth;
import beampoint.policy.hostlist.HostListSubscription;
import beampoint.policy.idempotency.RetrySafety;
import beampoint.policy.priority.RequestPriority;
import beampoint.policy.ring.Ring;
import beampoint.policy.slowstart.SlowStart;
import beampoint.policy.state.Attempt;
import beampoint.policy.state.Node;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Request;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Entry point of the decision logic of one balancer. Handles events and decides, with the classes of the
 * packages below, where a request goes, whether it is retried and when it is given up. Times are in ms.
 */
public final class BalancerPolicy implements Balancer {

  /** A primary spills if it has more than this many times the mean number of attempts in flight, ... */
  private static final double SPILL_FACTOR = 2;
  /** ... and at least this many more than the mean. */
  private static final int SPILL_EXCESS = 2;
  /** Fraction of the remaining time for which a probe is awaited. */
  private static final double PROBE_TIME_PART = 0.1;
  /** Fraction of a request's worth that a probe saves if the cache fails. */
  private static final double PROBE_GAIN = 0.5;
  /** Retry tokens that each new request adds; a retry of an attempt that may have run costs one. */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.2;
  private static final double MAX_RETRY_TOKENS = 3;
  /** Half-life of the decaying number of sends to a node, in ms. */
  private static final double SENDS_HALF_LIFE_MS = 30_000;
  /** Weight of the prior for the rate of sends to a node, as a number of sends. */
  private static final double PRIOR_SENDS = 2;

  final PolicyState state = new PolicyState();
  private final List<Action> actions = state.actions;
  private final EndpointHealth health = new EndpointHealth(state);
  private final SlowStart slowStart = new SlowStart(state);
  private final Ring ring = new Ring(state, slowStart);
  private final HostListSubscription hostList = new HostListSubscription(state);
  private final RequestPriority priority = new RequestPriority(state, health);
  private final Map<Long, Request> openRequests = new HashMap<>();
  private final List<Node> idle = new ArrayList<>(); // nodes that may have an idle connection
  private double retryTokens = 1;

  public BalancerPolicy(Settings settings) {
    state.apply(
        new SettingsChanged(settings, List.of(), Collections.nCopies(settings.tenants().size(), -1)));
  }

  @Override
  public List<Action> handle(double time, Event event) {
    state.now = time;
    state.startedAt = Math.min(state.startedAt, time);
    actions.clear();
    if (event instanceof ListReceived e && hostList.onList(e)) {
      ring.update();
      state.removeGoneNodes();
    } else if (event instanceof RequestReceived e) {
      onRequest(e);
    } else if (event instanceof AttemptEnded e) {
      onAttemptEnded(e);
    } else if (event instanceof RequestGone e && openRequests.containsKey(e.id())) {
      finish(openRequests.get(e.id()));
    } else if (event instanceof ProbeEnded e) {
      onProbeEnded(e);
    } else if (event instanceof TimerFired e) {
      onTimer(e.token());
    } else if (event instanceof BanChanged e) {
      state.apply(e);
      ring.update();
      actions.add(new CloseIdle(e.endpoint()));
    } else if (event instanceof ColdShareChanged e) {
      state.coldShare = e.part();
    } else if (event instanceof SettingsChanged e) {
      state.apply(e);
      ring.update();
    }
    closeIdle();
    return List.copyOf(actions);
  }

  /** The primary, or the next distinct cache when that one is busy; null if neither can take the request. */
  private Node pickCache(Request request) {
    ring.updateIfDue();
    Node primary = ring.cacheFor(request, 0);
    if (primary == null) {
      return null;
    }
    double mean = (double) state.inFlightAtCaches / state.caches.size();
    boolean spills = primary.inFlight > SPILL_FACTOR * mean && primary.inFlight >= mean + SPILL_EXCESS;
    boolean primaryHasRoom = health.hasRoom(primary, request);
    if (primaryHasRoom && !spills) {
      return primary;
    }
    Node second = ring.cacheFor(request, 1);
    if (second != null && health.hasRoom(second, request)) {
      return second;
    }
    if (primaryHasRoom) {
      return primary;
    }
    // Both caches of the key are short of room, perhaps only briefly: the request is still sent if the faster
    // one is expected to answer by the target time.
    boolean primaryIsFaster =
        second == null || health.expectedTime(primary) <= health.expectedTime(second);
    Node faster = primaryIsFaster ? primary : second;
    double left = (request.aimAt - state.now) * health.usablePart(faster);
    return !request.lowPriority && health.expectedTime(faster) <= left ? faster : null;
  }

  /**
   * Probes a cache of which this balancer has too few observations, and which may be busy, before the first
   * attempt of a request there. Returns true if the request now waits for a probe; false if no probe is
   * needed or if it costs more than it is likely to save. While few attempts fail, probes would delay every
   * request and save few of them a failed attempt.
   */
  private boolean startProbeIfUseful(Request request, Node node) {
    double gain = PROBE_GAIN * request.requestClass.worth() * health.failureShare();
    if (!state.settings.limits().probes() || request.attemptCount > 0
        || gain <= state.settings.prices().probe() || health.isKnown(node)) {
      return false;
    }
    request.probedNode = node;
    if (node.awaitingProbe.isEmpty()) {
      actions.add(new Probe(node.endpoint.id()));
    }
    node.awaitingProbe.add(request);
    actions.add(new SetTimer(
        Math.max(0, PROBE_TIME_PART * (Math.min(request.aimAt, request.deadline) - state.now)), request.id));
    return true;
  }

  private void onProbeEnded(ProbeEnded e) {
    Node node = state.nodes.get(e.endpoint());
    if (node == null) {
      return;
    }
    health.onProbe(node, e.result());
    List<Request> waiting = List.copyOf(node.awaitingProbe);
    node.awaitingProbe.clear();
    for (Request request : waiting) {
      if (request.probedNode == node) {
        sendOrGiveUp(request, e.result() == Result.OK && node.isCache() ? node : pickCache(request));
      }
    }
  }

  /** The origin, or null if it has no room or the request may not run, or not run again, there. */
  private Node pickOrigin(Request request) {
    boolean room = state.origin != null && health.hasRoom(state.origin, request);
    if (!room) {
      ring.onOriginOverload();
    }
    return room && state.now < RetrySafety.arriveBy(request, state.origin) ? state.origin : null;
  }

  private void onRequest(RequestReceived e) {
    RequestClass requestClass = state.settings.classes().get(e.requestClass());
    Request request = new Request(e, requestClass, state.settings.limits().maxAttempts(), state.now,
        state.random.nextDouble());
    request.lowPriority = priority.countAndCheckLow(e, request);
    openRequests.put(request.id, request);
    ring.assignBucket(request);
    state.requestCounter.add(state.now, EndpointHealth.MAX_HALF_LIFE_MS, 1);
    retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
    dispatch(request);
  }

  /**
   * Sends a read to its cache and a write to the origin. While the list is unconfirmed any cache may be
   * draining, and reads go to the origin too.
   */
  private void dispatch(Request request) {
    boolean skipsCaches =
        request.write && state.settings.originKind() >= 0 || state.listUnconfirmed;
    Node node = request.overflow ? null : skipsCaches ? pickOrigin(request) : pickCache(request);
    if (node == null || node.origin || !startProbeIfUseful(request, node)) {
      sendOrGiveUp(request, node);
    }
  }

  private void sendOrGiveUp(Request request, Node node) {
    if (node == null) {
      giveUp(request, request.overflow ? GiveUpReason.NOT_QUEUED
          : request.attemptCount >= request.maxAttempts ? GiveUpReason.NO_ATTEMPTS_LEFT
          : GiveUpReason.NO_ROOM);
      return;
    }
    request.probedNode = null;
    state.onAttemptSent(request, node);
    node.sends.add(state.now, SENDS_HALF_LIFE_MS, 1);
    slowStart.onAttemptSent(node);
    // An answer to a SAFE request after usefulUntil is worthless: ending the attempt frees a place in the
    // node's queue, and the timeout shows that the node is overloaded. The outcome of other requests, such as
    // most writes, is awaited until the client gives up.
    double timeout = request.requestClass.idempotency() == Idempotency.SAFE
        ? Math.max(1, request.usefulUntil - state.now) : 0;
    actions.add(new Send(request.id, node.endpoint.id(), timeout, RetrySafety.arriveBy(request, node)));
  }

  private void onAttemptEnded(AttemptEnded e) {
    Request request = openRequests.get(e.id());
    Attempt attempt = request == null ? null : request.attempt(e.attempt());
    if (attempt == null) {
      return;
    }
    state.onAttemptEnded(request, attempt, e.result().isAnswer());
    idle.remove(attempt.node);
    idle.add(attempt.node);
    slowStart.onAttemptEnded(e.result() == Result.OK);
    health.onOutcome(attempt, e);
    if (attempt.node.origin && e.result() != Result.OK && e.result() != Result.DISCARDED) {
      ring.onOriginOverload();
    }
    if (!e.result().neverRan && request.mayHaveRunAt == null) {
      request.mayHaveRunAt = attempt.node;
      request.mayHaveRunSince = attempt.sentAt;
    }
    if (request.finished || e.done()) {
      finish(request);
    } else if (request.inFlight.isEmpty() && e.result() == Result.MISS) {
      sendOrGiveUp(request, request.attemptCount < request.maxAttempts ? pickOrigin(request) : null);
    } else if (request.inFlight.isEmpty()) {
      onFailure(request, attempt.node, e.result());
    }
  }

  /** True if idle connections to a node are used often enough to be worth the price of holding them. */
  private boolean isWorthHolding(Node node) {
    double requestsPerMs = state.requestCounter.rate(state.now, EndpointHealth.MAX_HALF_LIFE_MS);
    // The price of connections is for 100 of them, and sends are counted per ms, not per second: 100 * 1000.
    double handshakePrice =
        100_000 * state.caches.size() * state.settings.prices().handshake();
    // Prior: until enough sends are observed, the node is assumed to get an even share of the requests.
    double observedTime = (1 - Math.pow(0.5, (state.now - state.startedAt) / SENDS_HALF_LIFE_MS))
        * SENDS_HALF_LIFE_MS / Math.log(2);
    double sends = PRIOR_SENDS + node.sends.count(state.now, SENDS_HALF_LIFE_MS);
    double sendsPerMs = sends / (PRIOR_SENDS * state.caches.size() / requestsPerMs + observedTime);
    double maxFleetRequestsPerSecond = state.totalQuota > 0 ? state.totalQuota : Double.MAX_VALUE;
    double fleetRequestsPerSecond =
        Math.min(1000 * requestsPerMs * state.settings.siblings(), maxFleetRequestsPerSecond);
    return sendsPerMs * handshakePrice >= state.settings.prices().connection() * fleetRequestsPerSecond;
  }

  private void closeIdle() {
    // Nodes that are gone are also removed from idle; otherwise it would grow without limit, as new hosts
    // have new ids.
    idle.removeIf(node -> node.inFlight == 0
        && (!isWorthHolding(node) || node.ban.isActive() || node.endpoint.state() == EndpointState.GONE)
        && actions.add(new CloseIdle(node.endpoint.id())));
  }

  private void onFailure(Request request, Node node, Result result) {
    // An origin that accepted no connection is retried after a pause: immediate retries would use up all
    // attempts at once.
    boolean originRefusedConnection = node.origin && result == Result.CONNECT_FAILED;
    double retryAt =
        state.now + (originRefusedConnection ? state.random.nextDouble() * health.expectedTime(node) : 0);
    double tokens = result.neverRan ? 0 : 1; // an attempt that never ran caused no work
    GiveUpReason reason = reasonNotToRetry(request, result, retryAt, tokens);
    if (reason != null) {
      giveUp(request, reason);
      return;
    }
    retryTokens -= tokens;
    if (originRefusedConnection) {
      request.originRetryAt = retryAt;
      actions.add(new SetTimer(retryAt - state.now, request.id));
      return;
    }
    request.tried.add(node);
    sendOrGiveUp(request, node.origin ? pickOrigin(request) : pickCache(request));
  }

  /** Why a request whose attempt has failed is not retried; null if it is. */
  private GiveUpReason reasonNotToRetry(Request request, Result result, double retryAt, double tokens) {
    if (result == Result.NOT_SENT || result == Result.DISCARDED) {
      return GiveUpReason.OUT_OF_RESOURCES;
    }
    return retryAt >= request.usefulUntil ? GiveUpReason.TIME_OVER
        : request.attemptCount >= request.maxAttempts ? GiveUpReason.NO_ATTEMPTS_LEFT
        : retryTokens < tokens ? GiveUpReason.RETRIES_LIMITED : null;
  }

  /**
   * Ends a request with a final answer of the balancer: a refusal if that is correct, otherwise a failure.
   */
  private void giveUp(Request request, GiveUpReason reason) {
    double wait = state.settings.limits().retryAdvice() ? state.settings.limits().maxRetryAfter() : 0;
    actions.add(RetrySafety.mayRefuse(request) ? new Refuse(request.id, wait, reason)
        : new Fail(request.id, reason));
    finish(request);
  }

  /** Marks a request as finished; it is kept until its last attempt has ended. */
  private void finish(Request request) {
    request.finished = true;
    request.probedNode = null;
    if (request.inFlight.isEmpty()) {
      openRequests.remove(request.id);
    }
  }

  private void onTimer(long token) {
    Request request = openRequests.get(token);
    if (!hostList.onTimer(token) && request != null && request.probedNode != null) {
      // The probe was not answered in time, so the cache is probably busy: the request spills to the next
      // distinct cache.
      Node first = ring.cacheFor(request, 0);
      Node other = ring.cacheFor(request, first == request.probedNode ? 1 : 0);
      sendOrGiveUp(request, other == null ? first : other);
    } else if (request != null && !request.finished && state.now + 1 >= request.originRetryAt) {
      request.originRetryAt = Double.POSITIVE_INFINITY;
      sendOrGiveUp(request, pickOrigin(request));
    }
  }
}

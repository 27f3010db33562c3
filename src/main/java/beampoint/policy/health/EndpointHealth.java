package beampoint.policy.health;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Load;
import beampoint.Balancer.Log;
import beampoint.Balancer.Result;
import beampoint.policy.state.Attempt;
import beampoint.policy.state.Node;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Request;

/**
 * Estimates from outcomes and load reports how long an attempt takes at a node and whether the node has room
 * for one more, and ejects caches that fail. Times are in ms.
 */
public record EndpointHealth(PolicyState state) {

  /** Fraction of the time left that an attempt at a cache may take; the rest is for a fetch after a miss. */
  private static final double CACHE_PART = 0.5;
  /** Fraction by which the usable time is reduced, as a multiple of the share of timeouts. */
  private static final double TIMEOUT_PENALTY = 3;
  /** Smallest usable fraction of the time left, however high the share of timeouts is. */
  private static final double MIN_USABLE_PART = 0.5;
  /** Fraction of the time left that a low-priority request gets when caches report full load. */
  private static final double LOW_PRIORITY_PART = 0.4;
  /** Number of sends to one cache that a half-life spans, unless that is too short or too long. */
  private static final double HALF_LIFE_SENDS = 3;
  /**
   * Shortest half-life in ms of observations of one cache; also the fixed half-life of most observations of
   * all caches together.
   */
  private static final double MIN_HALF_LIFE_MS = 1000;
  /**
   * Longest half-life in ms of observations of one cache; also the fixed half-life of the request rate and of
   * the share of failures.
   */
  public static final double MAX_HALF_LIFE_MS = 8000;
  /**
   * Weight of a prior, in observations: the mean of all caches, for example, counts as this many of one
   * cache.
   */
  private static final double PRIOR_ANSWERS = 2;
  /** Share of attempts and probes that is assumed to fail before any are observed. */
  private static final double PRIOR_FAILURE_SHARE = 0.1;
  /** Share of errors above which a cache is ejected. */
  private static final double MAX_ERROR_SHARE = 0.3;
  /** A cache that has answered within this fraction of a half-life counts as alive. */
  private static final double ALIVE_PART = 0.25;

  /**
   * True if one more attempt at the node is expected to answer in time. More requests would build a queue
   * whose answers come too late.
   */
  public boolean hasRoom(Node node, Request request) {
    double left = (state.now > request.aimAt ? request.usefulUntil : request.aimAt) - state.now;
    double part = request.lowPriority
        ? 1 - state.reportedLoad.mean(state.now, MIN_HALF_LIFE_MS, 1, PRIOR_ANSWERS)
            * (1 - LOW_PRIORITY_PART)
        : 1;
    return expectedTime(node) <= left * part * usablePart(node) * (node.origin ? 1 : CACHE_PART);
  }

  /**
   * The fraction of the time left that an attempt's expected time may take. While many attempts time out, the
   * expected time is too low, because timeouts are cut off and only the faster answers are measured in full.
   * Without the reduction, too many requests would be admitted and the overload would persist.
   */
  public double usablePart(Node node) {
    double share = (node.origin ? state.originTimeouts : state.timeouts).mean(state.now, MIN_HALF_LIFE_MS, 0,
        PRIOR_ANSWERS);
    return Math.max(MIN_USABLE_PART, 1 - TIMEOUT_PENALTY * share);
  }

  /**
   * The expected time (ms) of one more attempt: the mean time of recent attempts, scaled by the number in
   * flight now over the mean number in flight when those were sent. The prior for a cache is the mean of all
   * caches; it is weaker for the origin. Means are of logarithms, so that one slow request does not make all
   * caches look busy.
   */
  public double expectedTime(Node node) {
    double prior = node.origin ? 0 : Math.log(Math.max(1, fleetTime()));
    double time = Math.exp(node.logTime.mean(state.now, halfLife(), prior,
        node.origin ? PRIOR_ANSWERS / 8 : PRIOR_ANSWERS));
    double inFlight = node.inFlightAtSend.mean(state.now, halfLife(), 1, PRIOR_ANSWERS);
    return Math.max(time * Math.max(1, (node.inFlight + 1) / inFlight), node.unansweredTime(state.now));
  }

  /**
   * The mean time (ms) of recent attempts at all caches, with a weak prior. If no attempt is in flight, the
   * estimate decays faster as the last observation gets older. Otherwise a high estimate would persist: it
   * causes refusals, and refused requests give no new observations.
   */
  private double fleetTime() {
    double count = state.inFlightAtCaches > 0 ? 0 : state.logTimes.count(state.now, MIN_HALF_LIFE_MS);
    double idle = count * state.logTimes.age(state.now) / halfLife();
    return Math.exp(state.logTimes.mean(state.now, MIN_HALF_LIFE_MS, 0, PRIOR_ANSWERS / 8 + idle));
  }

  /**
   * The half-life in ms of observations of one cache. It spans several sends to one cache: with a shorter
   * one, the observation that a cache is slow would be lost before the next send.
   */
  public double halfLife() {
    double gap = state.caches.size() / Math.max(1e-9, state.requestCounter.rate(state.now, MAX_HALF_LIFE_MS));
    return Math.min(MAX_HALF_LIFE_MS, Math.max(MIN_HALF_LIFE_MS, HALF_LIFE_SENDS * gap));
  }

  /** True if there are enough recent observations of the node itself. */
  public boolean isKnown(Node node) {
    return node.logTime.count(state.now, halfLife()) >= PRIOR_ANSWERS;
  }

  /** The recent share of attempts and probes at caches that failed. */
  public double failureShare() {
    return state.failures.mean(state.now, MAX_HALF_LIFE_MS, PRIOR_FAILURE_SHARE, PRIOR_ANSWERS);
  }

  /**
   * Records a load report. Any queued request means full load (1), since requests queue only once the
   * endpoint is fully busy. Otherwise the reported utilisation is the load, or 0 if only an empty queue is
   * reported.
   */
  private void onLoad(Load load) {
    double reported = Double.isNaN(load.utilisation()) ? load.queue() : load.utilisation();
    if (!Double.isNaN(reported)) {
      state.reportedLoad.add(state.now, MIN_HALF_LIFE_MS, load.queue() > 0 ? 1 : Math.min(1, reported));
    }
  }

  /** Records the outcome of an attempt, and ejects its node if it fails too often. */
  public void onOutcome(Attempt attempt, AttemptEnded e) {
    Node node = attempt.node;
    Result result = e.result();
    if (result == Result.OK || result == Result.TIMEOUT || result == Result.FULL) {
      // A rejection by a full queue comes at once and would look like a fast answer, so it is recorded as at
      // least the target time.
      double minTime = result == Result.FULL ? attempt.requestClass.aim() : e.elapsed();
      double logTime = Math.log(Math.max(minTime, result == Result.OK ? 1 : expectedTime(node)));
      node.logTime.add(state.now, halfLife(), logTime);
      node.inFlightAtSend.add(state.now, halfLife(), attempt.inFlightAtSend);
      if (!node.origin) {
        state.logTimes.add(state.now, MIN_HALF_LIFE_MS, logTime);
      }
    }
    (node.origin ? state.originTimeouts : state.timeouts).add(state.now, MIN_HALF_LIFE_MS,
        result == Result.TIMEOUT ? 1 : 0);
    if (!node.origin) {
      state.failures.add(state.now, MAX_HALF_LIFE_MS, result.isAnswer() ? 0 : 1);
    }
    boolean broken = result == Result.CONNECT_FAILED || result == Result.RESET;
    node.errors.add(state.now, halfLife(), result == Result.ERROR || broken ? 1 : 0);
    // If the cache has just answered other attempts, only one connection broke.
    boolean silent = state.now - node.lastAnswerAt > halfLife() * ALIVE_PART;
    if (broken && silent || node.errors.mean(state.now, halfLife(), 0, PRIOR_ANSWERS) > MAX_ERROR_SHARE) {
      eject(node);
    }
    if (!node.origin && e.load() != null) {
      onLoad(e.load());
    }
  }

  /** Records the outcome of a probe, and ejects its node if the probe failed. */
  public void onProbe(Node node, Result result) {
    if (result != Result.OK) {
      eject(node);
    }
    state.failures.add(state.now, MAX_HALF_LIFE_MS, result == Result.OK ? 0 : 1);
  }

  /**
   * Ejects a cache for a half-life of its observations. At most half of the caches are ejected at a time: if
   * more fail, the cause is not in the single caches.
   */
  private void eject(Node node) {
    long ejected = state.caches.stream().filter(n -> state.now < n.ejectedUntil).count();
    if (!node.origin && state.now >= node.ejectedUntil && ejected < state.caches.size() / 2) {
      node.ejectedUntil = state.now + halfLife();
      state.actions.add(new Log("ejected " + node.endpoint.id() + " for " + Math.round(halfLife()) + " ms"));
    }
  }
}

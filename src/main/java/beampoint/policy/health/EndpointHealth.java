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

  private static final double CACHE_PART = 0.5; // of the time to the target: a fetch may follow a miss
  private static final double TIMEOUT_PENALTY = 3; // reduction of the usable time by the share of timeouts
  private static final double MIN_USABLE_PART = 0.5; // of the time, whatever the share of timeouts
  private static final double LOW_PRIORITY_PART = 0.4; // of the time for low priority, at busy caches
  private static final double HALF_LIFE_SENDS = 3; // sends to one cache in a half-life, within limits
  private static final double MIN_HALF_LIFE_MS = 1000; // for one cache; the half-life for all together
  public static final double MAX_HALF_LIFE_MS = 8000; // for one cache; also that of the request rate
  private static final double PRIOR_ANSWERS = 2; // of one cache, as which the mean of all counts
  private static final double PRIOR_FAILURE_SHARE = 0.1; // of attempts and probes, before any are observed
  private static final double MAX_ERROR_SHARE = 0.3; // above which a cache is ejected
  private static final double ALIVE_PART = 0.25; // of a half-life since the last answer: the cache is alive

  /**
   * True where one more attempt at the node is expected to answer in time. Requests beyond that would build a
   * queue whose answers come too late.
   */
  public boolean hasRoom(Node node, Request request) {
    double left = (state.now > request.aimAt ? request.usefulUntil : request.aimAt) - state.now;
    double part = request.lowPriority
        ? 1 - state.reportedLoad.value(state.now, MIN_HALF_LIFE_MS, 1, PRIOR_ANSWERS)
            * (1 - LOW_PRIORITY_PART)
        : 1;
    return expectedTime(node) <= left * part * usablePart(node) * (node.origin ? 1 : CACHE_PART);
  }

  /**
   * The part of the time left that an attempt's expected time may fill. Where many attempts time out, the
   * expected time is too low, as the answers that come in time look good; without the reduction the overload
   * would admit the requests that keep it up.
   */
  public double usablePart(Node node) {
    double share = (node.origin ? state.originTimeouts : state.timeouts).value(state.now, MIN_HALF_LIFE_MS, 0,
        PRIOR_ANSWERS);
    return Math.max(MIN_USABLE_PART, 1 - TIMEOUT_PENALTY * share);
  }

  /**
   * The time that one more attempt would take: the recent time, scaled by the ratio of attempts in flight now
   * to those in flight then. The mean of all caches fills in for what is not known of one cache. Means are of
   * logarithms, so that one slow request does not make the whole fleet look full.
   */
  public double expectedTime(Node node) {
    double prior = node.origin ? 0 : Math.log(Math.max(1, fleetTime()));
    double time = Math.exp(node.logTime.value(state.now, halfLife(), prior,
        node.origin ? PRIOR_ANSWERS / 8 : PRIOR_ANSWERS));
    double inFlight = node.inFlightAtSend.value(state.now, halfLife(), 1, PRIOR_ANSWERS);
    return Math.max(time * Math.max(1, (node.inFlight + 1) / inFlight), node.unansweredTime(state.now));
  }

  /**
   * The recent time at all caches. With no attempt in flight it decays faster, the longer ago the last
   * observation was: refusals stop further observations, so the estimate behind them would otherwise persist.
   */
  private double fleetTime() {
    double count = state.inFlightAtCaches > 0 ? 0 : state.logTimes.count(state.now, MIN_HALF_LIFE_MS);
    double idle = count * state.logTimes.age(state.now) / halfLife();
    return Math.exp(state.logTimes.value(state.now, MIN_HALF_LIFE_MS, 0, PRIOR_ANSWERS / 8 + idle));
  }

  /**
   * The half-life of observations of one cache. It spans several sends to one cache: after a shorter one each
   * send would have to find out anew that the cache is slow.
   */
  public double halfLife() {
    double gap = state.caches.size() / Math.max(1e-9, state.requests.rate(state.now, MAX_HALF_LIFE_MS));
    return Math.min(MAX_HALF_LIFE_MS, Math.max(MIN_HALF_LIFE_MS, HALF_LIFE_SENDS * gap));
  }

  /** True where there are enough recent times of the node itself. */
  public boolean isKnown(Node node) {
    return node.logTime.count(state.now, halfLife()) >= PRIOR_ANSWERS;
  }

  /** The recent share of attempts and probes at caches that failed. */
  public double failureShare() {
    return state.failures.value(state.now, MAX_HALF_LIFE_MS, PRIOR_FAILURE_SHARE, PRIOR_ANSWERS);
  }

  /** Records a load report. Requests queue only once all slots are taken; else the utilisation counts. */
  private void onLoad(Load load) {
    double reported = Double.isNaN(load.utilisation()) ? load.queue() : load.utilisation();
    if (!Double.isNaN(reported)) {
      state.reportedLoad.add(state.now, MIN_HALF_LIFE_MS, load.queue() > 0 ? 1 : Math.min(1, reported));
    }
  }

  /** Records the outcome of an attempt, and ejects its node where that is due. */
  public void onOutcome(Attempt attempt, AttemptEnded e) {
    Node node = attempt.node;
    Result result = e.result();
    if (result == Result.OK || result == Result.TIMEOUT || result == Result.FULL) {
      // A full queue answers at once and would look fast: it counts as the target time, which would be late.
      double least = result == Result.FULL ? attempt.requestClass.aim() : e.elapsed();
      double logTime = Math.log(Math.max(least, result == Result.OK ? 1 : expectedTime(node)));
      node.logTime.add(state.now, halfLife(), logTime);
      node.inFlightAtSend.add(state.now, halfLife(), attempt.inFlightAtSend);
      if (!node.origin) {
        state.logTimes.add(state.now, MIN_HALF_LIFE_MS, logTime);
      }
    }
    (node.origin ? state.originTimeouts : state.timeouts).add(state.now, MIN_HALF_LIFE_MS,
        result == Result.TIMEOUT ? 1 : 0);
    if (!node.origin) {
      state.failures.add(state.now, MAX_HALF_LIFE_MS, result == Result.OK || result == Result.MISS ? 0 : 1);
    }
    boolean broken = result == Result.CONNECT_FAILED || result == Result.RESET;
    node.errors.add(state.now, halfLife(), result == Result.ERROR || broken ? 1 : 0);
    // Where the cache has just answered other attempts, only a connection broke.
    boolean silent = state.now - node.lastAnswerAt > halfLife() * ALIVE_PART;
    if (broken && silent || node.errors.value(state.now, halfLife(), 0, PRIOR_ANSWERS) > MAX_ERROR_SHARE) {
      eject(node);
    }
    if (!node.origin && e.load() != null) {
      onLoad(e.load());
    }
  }

  /** Records the outcome of a probe, and ejects its node where it failed. */
  public void onProbe(Node node, Result result) {
    if (result != Result.OK) {
      eject(node);
    }
    state.failures.add(state.now, MAX_HALF_LIFE_MS, result == Result.OK ? 0 : 1);
  }

  /**
   * Ejects a cache for a half-life of its observations. Never more than half of the caches are out at a time:
   * with so many failing, the cause is a shared one.
   */
  private void eject(Node node) {
    long ejected = state.caches.stream().filter(n -> state.now < n.ejectedUntil).count();
    if (!node.origin && state.now >= node.ejectedUntil && ejected < state.caches.size() / 2) {
      node.ejectedUntil = state.now + halfLife();
      state.actions.add(new Log("ejected " + node.endpoint.id() + " for " + Math.round(halfLife()) + " ms"));
    }
  }
}

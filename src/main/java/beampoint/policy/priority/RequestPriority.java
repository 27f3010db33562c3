package beampoint.policy.priority;

import beampoint.Balancer.RequestReceived;
import beampoint.policy.health.EndpointHealth;
import beampoint.policy.state.DecayingMean;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Request;
import beampoint.policy.state.TenantUsage;
import java.util.Arrays;

/**
 * Which requests have low priority while caches are busy: those beyond their tenant's share, and clients'
 * retries after the target time.
 */
public record RequestPriority(PolicyState state, EndpointHealth health) {

  /** Half-life of a tenant's usage, as a multiple of the half-life of one cache's observations. */
  private static final double USAGE_HALF_LIFE_FACTOR = 3;
  /** Fraction of the class's mean time left: a request with less is taken for a retry. */
  private static final double SHORT_TIME_LEFT = 0.8;
  /** Half-life of the mean time left of a class's requests, in ms. */
  private static final double TIME_LEFT_HALF_LIFE_MS = 30_000;
  /** Weight of the request's own time left, in observations, in the mean with which it is compared. */
  private static final double PRIOR_TIMES_LEFT = 2;

  /** Counts a new request for its class and its tenant; true if it has low priority. */
  public boolean countAndCheckLow(RequestReceived e, Request request) {
    return isLateRetry(e, request) | (e.tenant() < state.usages.size() && countAndCheckOverShare(e.tenant()));
  }

  /**
   * True for a client's retry after the target time: its answer is worthless, so it should not take capacity
   * from other requests. A request with clearly less time left than usual in its class is taken for a retry.
   * Once any client has marked a retry, only marked requests count as retries.
   */
  private boolean isLateRetry(RequestReceived e, Request request) {
    double leftFraction = (request.deadline - state.now) / request.requestClass.deadline();
    DecayingMean leftFractions =
        state.timeLeftFractions.computeIfAbsent(request.requestClass, type -> new DecayingMean());
    boolean shorter = leftFraction < SHORT_TIME_LEFT
        * leftFractions.mean(state.now, TIME_LEFT_HALF_LIFE_MS, leftFraction, PRIOR_TIMES_LEFT);
    leftFractions.add(state.now, TIME_LEFT_HALF_LIFE_MS, leftFraction);
    state.clientsMarkRetries |= e.markedAsRetry();
    double targetFraction = request.requestClass.lateWorth() > 0 ? 1
        : request.requestClass.aim() / request.requestClass.deadline();
    return shorter && state.clientsMarkRetries == e.markedAsRetry() && 1 - leftFraction > targetFraction;
  }

  /**
   * Counts a request of a tenant; true if it is beyond the tenant's share. A tenant is over its share while
   * its usage, as a fraction of its quota and less the uncertainty of a small count, is above the median of
   * all tenants.
   */
  private boolean countAndCheckOverShare(int tenant) {
    TenantUsage usage = state.usages.get(tenant);
    double halfLife = USAGE_HALF_LIFE_FACTOR * health.halfLife();
    usage.requests.add(state.now, halfLife, 1);
    double[] usageFractions = new double[state.usages.size()];
    for (int i = 0; i < usageFractions.length; i++) {
      double rate = 1000 * state.usages.get(i).requests.rate(state.now, halfLife);
      usageFractions[i] = rate / Math.max(1e-9, state.settings.tenants().get(i).quotaPerSecond());
    }
    double ownUse =
        usageFractions[tenant] * (1 - 1 / Math.sqrt(1 + usage.requests.count(state.now, halfLife)));
    Arrays.sort(usageFractions);
    // Shortly after the start the decayed rates are too low by this factor, so the even share of the quota is
    // reduced by the same factor.
    double observed = 1 - Math.pow(0.5, (state.now - state.startedAt) / halfLife);
    double allowedUse =
        Math.max(usageFractions[usageFractions.length / 2], observed / state.settings.siblings());
    usage.tokens = Math.min(1, usage.tokens + Math.min(1, allowedUse / ownUse));
    boolean over = usage.tokens < 1;
    usage.tokens -= over ? 0 : 1;
    return over;
  }
}

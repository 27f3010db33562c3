package beampoint.policy.priority;

import beampoint.Balancer.RequestReceived;
import beampoint.policy.health.EndpointHealth;
import beampoint.policy.state.DecayingMean;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Request;
import beampoint.policy.state.TenantUsage;
import java.util.Arrays;

/**
 * Which requests have low priority where caches are busy: those beyond their tenant's share, and clients'
 * retries after the target time.
 */
public record RequestPriority(PolicyState state, EndpointHealth health) {

  private static final double USAGE_HALF_LIVES = 3; // half-life of a tenant's usage, in those of a cache's
  private static final double SHORT_WAIT = 0.8; // of the mean wait: less is what a first try has left
  private static final double WAIT_HALF_LIFE_MS = 30_000; // of the mean wait of a class's clients
  private static final double PRIOR_WAITS = 2; // weight of a client's own wait in the mean that it is held to

  /** Counts a new request for its class and its tenant; true where it has low priority. */
  public boolean isLow(RequestReceived e, Request request) {
    return isLateRetry(e, request) | (e.tenant() < state.usages.size() && isOverShare(e.tenant()));
  }

  /**
   * True for a client's retry after the target time: it can't earn anything and should take no room from
   * others. A client that waits less than others of its class is taken to have asked before; once clients
   * mark their retries, only a marked request is one.
   */
  private boolean isLateRetry(RequestReceived e, Request request) {
    double left = (request.deadline - state.now) / request.requestClass.deadline();
    DecayingMean waits =
        state.clientWaits.computeIfAbsent(request.requestClass, type -> new DecayingMean());
    boolean shorter = left < SHORT_WAIT * waits.value(state.now, WAIT_HALF_LIFE_MS, left, PRIOR_WAITS);
    waits.add(state.now, WAIT_HALF_LIFE_MS, left);
    state.clientsMarkRetries |= e.markedAsRetry();
    double aim = request.requestClass.lateWorth() > 0 ? 1
        : request.requestClass.aim() / request.requestClass.deadline();
    return shorter && state.clientsMarkRetries == e.markedAsRetry() && 1 - left > aim;
  }

  /**
   * Counts a request of a tenant; true beyond the tenant's share. A tenant is over its share while its usage,
   * as a part of its quota and less the uncertainty of a small count, is above the median of all tenants.
   */
  private boolean isOverShare(int tenant) {
    TenantUsage usage = state.usages.get(tenant);
    double halfLife = USAGE_HALF_LIVES * health.halfLife();
    usage.requests.add(state.now, halfLife, 1);
    double[] uses = new double[state.usages.size()];
    for (int i = 0; i < uses.length; i++) {
      double rate = 1000 * state.usages.get(i).requests.rate(state.now, halfLife);
      uses[i] = rate / Math.max(1e-9, state.settings.tenants().get(i).quotaPerSecond());
    }
    double own = uses[tenant] * (1 - 1 / Math.sqrt(1 + usage.requests.count(state.now, halfLife)));
    Arrays.sort(uses);
    // Just after the start rates are too low by this factor; the even part of a quota is lowered by as much.
    double observed = 1 - Math.pow(0.5, (state.now - state.startedAt) / halfLife);
    double part = Math.max(uses[uses.length / 2], observed / state.settings.siblings());
    usage.tokens = Math.min(1, usage.tokens + Math.min(1, part / own));
    boolean over = usage.tokens < 1;
    usage.tokens -= over ? 0 : 1;
    return over;
  }
}

package beampoint.policy.priority;

import beampoint.Balancer.RequestReceived;
import beampoint.policy.health.EndpointHealth;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.DecayingMean;
import beampoint.policy.state.Request;
import beampoint.policy.state.TenantUsage;
import java.util.Arrays;

/** Which requests yield where caches are not free: beyond a share, or asked again after their aim. */
public record RequestPriority(PolicyState facts, EndpointHealth evidence) {

  private static final double USAGE_MEMORY = 3; // a tenant's use counts for so many memories of a cache
  private static final double SHORT_WAIT = 0.8; // of the usual: shorter is what is left of a client's time
  private static final double PATIENCE_FADE = 30_000; // in ms: how long clients wait counts half
  private static final double PRIOR = 2; // what a first client's wait counts

  public boolean yields(RequestReceived e, Request r) {
    return comesLate(e, r) | (e.tenant() < facts.usages.size() && countUsage(e.tenant()));
  }

  /** Guards against room for what can earn nothing: who waits less than others has asked before. */
  private boolean comesLate(RequestReceived e, Request r) {
    double left = (r.deadline - facts.now) / r.type.deadline();
    DecayingMean usual = facts.patience.computeIfAbsent(r.type, type -> new DecayingMean());
    boolean shorter = left < SHORT_WAIT * usual.value(facts.now, PATIENCE_FADE, left, PRIOR);
    usual.add(facts.now, PATIENCE_FADE, left);
    facts.marks |= e.again();
    double aim = r.type.lateWorth() > 0 ? 1 : r.type.aim() / r.type.deadline();
    return shorter && facts.marks == e.again() && 1 - left > aim;
  }

  /** True beyond a tenant's share: what it surely uses is over the tenants' median use of their quotas. */
  private boolean countUsage(int tenant) {
    TenantUsage usage = facts.usages.get(tenant);
    double memory = USAGE_MEMORY * evidence.memory();
    usage.requests.add(facts.now, memory, 1);
    double[] uses = new double[facts.usages.size()];
    for (int i = 0; i < uses.length; i++) {
      double rate = 1000 * facts.usages.get(i).requests.rate(facts.now, memory);
      uses[i] = rate / Math.max(1e-9, facts.settings.tenants().get(i).quotaPerSecond());
    }
    double own = uses[tenant] * (1 - 1 / Math.sqrt(1 + usage.requests.count(facts.now, memory)));
    Arrays.sort(uses);
    // Rates are too low until the memory has filled; the even part of a quota is to be as much lower.
    double filled = 1 - Math.pow(0.5, (facts.now - facts.startedAt) / memory);
    double part = Math.max(uses[uses.length / 2], filled / facts.settings.siblings());
    usage.tokens = Math.min(1, usage.tokens + Math.min(1, part / own));
    boolean over = usage.tokens < 1;
    usage.tokens -= over ? 0 : 1;
    return over;
  }
}

package beampoint.policy.slowstart;

import beampoint.policy.state.Node;
import beampoint.policy.state.PolicyState;

/** Slow start of cold caches: how warm a cache is, and the rate limit on what a cold one is sent. */
public record SlowStart(PolicyState state) {

  /** Half-life of the served rate in ms, the same as that of the rate of requests received. */
  private static final double SERVED_HALF_LIFE_MS = 8000;
  /** Factor by which the peak served rate decays at each outcome. */
  private static final double PEAK_DECAY = 0.9999;

  /** The fraction of its full capacity that a cache has at a time. */
  public double warmth(Node node, double now) {
    return node.startedAt <= 0 ? 1 : state.settings.rules().warmth(now - node.startedAt);
  }

  public boolean isCold(Node node) {
    return warmth(node, state.now) < 1;
  }

  /** Records the outcome of an attempt at any node and updates the served rate (OK answers per ms). */
  public void onAttemptEnded(boolean ok) {
    state.served.add(state.now, SERVED_HALF_LIFE_MS, ok ? 1 : 0);
    double rate = state.served.sum() * Math.log(2) / SERVED_HALF_LIFE_MS;
    state.peakServedRate = Math.max(rate, state.peakServedRate * PEAK_DECAY);
  }

  /**
   * True if a cache is warm or may be sent one more request now. A burst would overload a cold cache: it is
   * sent requests at no more than (peak served rate / number of caches) * warmth * {@code fallMultiple} / 2,
   * counted over {@code fallWindow}. Fetches from the origin count as served; without them, almost nothing
   * would be sent to caches that are all empty.
   */
  public boolean maySend(Node node) {
    return !isCold(node)
        || state.now + state.settings.rules().fallWindow() / 2 + interval(node) >= node.pacedUntil;
  }

  /** Records that an attempt is sent to a node. */
  public void onAttemptSent(Node node) {
    node.pacedUntil =
        isCold(node) ? Math.max(state.now, node.pacedUntil) + interval(node) : state.now;
  }

  /**
   * Mean time in ms between two requests to a cold cache. A balancer that has just started has served nothing
   * yet: an even share of all quotas is then taken as the rate that it will serve.
   */
  private double interval(Node node) {
    double part =
        state.coldShare * warmth(node, state.now) * state.settings.rules().fallMultiple() / 2;
    double evenRate = state.totalQuota / state.settings.siblings() / 1000;
    return state.caches.size() / Math.max(1e-9, Math.max(state.peakServedRate, evenRate) * part);
  }
}

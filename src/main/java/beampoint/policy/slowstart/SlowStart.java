package beampoint.policy.slowstart;

import beampoint.policy.state.Node;
import beampoint.policy.state.PolicyState;

/** Slow start of cold caches: how warm a cache is, and the rate limit on what a cold one is sent. */
public record SlowStart(PolicyState state) {

  private static final double SERVED_HALF_LIFE_MS = 8000; // the same as for requests received
  private static final double PEAK_DECAY = 0.9999; // of the peak served rate, with each outcome

  /** The part of its capacity that a cache has at a time. */
  public double warmth(Node node, double now) {
    return node.startedAt <= 0 ? 1 : state.settings.rules().warmth(now - node.startedAt);
  }

  public boolean isCold(Node node) {
    return warmth(node, state.now) < 1;
  }

  /** Records the outcome of an attempt at any node, which gives the served rate. */
  public void onAttemptEnded(boolean ok) {
    state.served.add(state.now, SERVED_HALF_LIFE_MS, ok ? 1 : 0);
    double rate = state.served.sum() * Math.log(2) / SERVED_HALF_LIFE_MS;
    state.peakServedRate = Math.max(rate, state.peakServedRate * PEAK_DECAY);
  }

  /**
   * True where a cache is warm or may be sent one more request now. A burst would overload a cold cache: in
   * each window it gets at most its present part of this balancer's peak served rate, times half of the
   * multiple that the settings state. Fetches from the origin count as served; without them, caches that are
   * all empty would be sent next to nothing.
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
   * yet: an even part of all quotas stands for the rate that it will serve.
   */
  private double interval(Node node) {
    double part =
        state.coldShare * warmth(node, state.now) * state.settings.rules().fallMultiple() / 2;
    double evenRate = state.totalQuota / state.settings.siblings() / 1000;
    return state.caches.size() / Math.max(1e-9, Math.max(state.peakServedRate, evenRate) * part);
  }
}

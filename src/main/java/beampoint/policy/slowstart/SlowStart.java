package beampoint.policy.slowstart;

import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Node;

/** How warm a cache is, and what a cold one is sent. */
public record SlowStart(PolicyState facts) {

  private static final double SERVED_FADE = 8000; // in ms: service counts half after this, as taking does
  private static final double BEST_KEPT = 0.9999; // of the best service, with each outcome

  /** The part of its capacity that a cache has at a time. */
  public double warmth(Node node, double now) {
    return node.startedAt <= 0 ? 1 : facts.settings.rules().warmth(now - node.startedAt);
  }

  public boolean isCold(Node node) {
    return warmth(node, facts.now) < 1;
  }

  /** Takes the outcome of an attempt. */
  public void ended(boolean ok) {
    facts.served.add(facts.now, SERVED_FADE, ok ? 1 : 0);
    double rate = facts.served.sum() * Math.log(2) / SERVED_FADE;
    facts.servedAtBest = Math.max(rate, facts.servedAtBest * BEST_KEPT);
  }

  /**
   * Guards against storms that push a cold cache over: in a window it is sent its present part of the most
   * that this balancer served (fetches too, or empty caches starve), by half of the stated multiple.
   */
  public boolean mayTake(Node node) {
    return !isCold(node)
        || facts.now + facts.settings.rules().fallWindow() / 2 + gap(node) >= node.pacedUntil;
  }

  public void sent(Node node) {
    node.pacedUntil = isCold(node) ? Math.max(facts.now, node.pacedUntil) + gap(node) : facts.now;
  }

  /** Who has just started has served nothing: the even part of all quotas stands for what it will serve. */
  private double gap(Node node) {
    double part = facts.share * warmth(node, facts.now) * facts.settings.rules().fallMultiple() / 2;
    double even = facts.quotas / facts.settings.siblings() / 1000;
    return facts.caches.size() / Math.max(1e-9, Math.max(facts.servedAtBest, even) * part);
  }
}

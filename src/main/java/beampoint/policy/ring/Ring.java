package beampoint.policy.ring;

import beampoint.Balancer.WeightSource;
import beampoint.policy.slowstart.SlowStart;
import beampoint.policy.idempotency.RetrySafety;
import beampoint.policy.state.BucketFrequency;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Hash;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;
import java.util.ArrayList;
import java.util.List;

/**
 * The ordinary path (C2DN paper, sections 2 and 4, appendix on bucket assignment): keys hash into buckets
 * on a weighted consistent hash ring that all balancers build alike; a bucket goes to its first distinct
 * cache clockwise, and what that can't take to the next. What departs from it says why.
 */
public record Ring(PolicyState facts, SlowStart cold) {

  private static final int BUCKETS = 4096; // many to a cache: one is a small part of its load
  private static final int POINTS = 100; // on the ring for each unit of list weight
  private static final int WARM_STEPS = 16; // in which a warming cache's points grow
  private static final double COPY_PART = 0.5; // of a cache's fair share that one bucket may draw there
  private static final double COLD_SIGHT = 0.5; // of the request at hand, that does not count for its bucket
  private static final double FREQUENCY_FADE = 30_000; // in ms: what a bucket draws counts half
  private static final double NEAR_RAMP = 8_000; // in ms, in which all buckets get places in each zone

  public Ring {
    facts.frequency = new BucketFrequency(BUCKETS, FREQUENCY_FADE);
  }

  /** Counts a new request for its bucket. */
  public void take(Request r) {
    r.bucket = (int) Long.remainderUnsigned(Hash.of(r.key >= 0 ? r.key : ~r.id), BUCKETS);
    facts.frequency.add(facts.now, r.bucket);
  }

  /**
   * Puts every running cache on the ring with points by weight. A warming cache has only the first points of
   * its sequence, or its full share would push it over. Steps are the clock's: all balancers agree.
   */
  public void update() {
    double step = Math.max(1, facts.settings.rules().warmUp() / WARM_STEPS);
    boolean live = facts.settings.weightSource() == WeightSource.LIVE;
    double steppedNow = Math.floor(facts.now / step) * step;
    facts.pointsDueAt = Double.POSITIVE_INFINITY;
    List<Node> moved = new ArrayList<>();
    for (Node node : facts.nodes.values()) {
      double share = cold.warmth(node, steppedNow);
      if (node.isCache() && share < 1) {
        facts.pointsDueAt = steppedNow + step;
      }
      // Live weights fall late with load: buckets would wander. The most listed is the size.
      double weight = live ? facts.sizes.get(node.entry.kind()) : Math.max(0, node.entry.weight());
      int count = node.isCache() ? Math.max(1, (int) Math.round(POINTS * weight * share)) : 0;
      if (count != node.points) {
        node.points = count;
        moved.add(node);
      }
    }
    facts.points.replace(moved);
  }

  /** Follows the clock: a cache may be warmer now. */
  public void step() {
    if (facts.now >= facts.pointsDueAt) {
      update();
    }
  }

  /** The primary, which is 0, or the next distinct ready caches after it, without those tried. */
  public Node place(Request r, int number) {
    int start = facts.points.after(Hash.of(~(long) r.bucket));
    int skip = copy(r, start) + number;
    List<Node> passed = new ArrayList<>(r.tried);
    Node near = r.bucket < nearPart() * BUCKETS ? nearPlace(start) : null;
    if (near != null && !passed.contains(near) && isReady(near, r)) {
      if (skip-- == 0) {
        return near;
      }
      passed.add(near);
    }
    for (int i = 0; i < facts.points.size(); i++) {
      Node node = facts.points.owner(start + i);
      if (!passed.contains(node)) {
        // A cold cache takes its own buckets only, not what its neighbours spill.
        if ((i == 0 ? cold.mayTake(node) : !cold.isCold(node)) && isReady(node, r) && skip-- == 0) {
          return node;
        }
        passed.add(node);
      }
    }
    return null;
  }

  private boolean isReady(Node node, Request r) {
    return facts.now >= node.ejectedUntil && facts.now < RetrySafety.startBy(r, node);
  }

  /** The first warm cache of the own zone clockwise; none for what is a cold cache's, or it would starve. */
  private Node nearPlace(int start) {
    for (int i = 0; i < facts.points.size(); i++) {
      Node node = facts.points.owner(start + i);
      boolean isCold = cold.isCold(node);
      if (isCold ? i == 0 : node.entry.zone() == facts.settings.zone()) {
        return isCold ? null : node;
      }
    }
    return null;
  }

  /** Crossing zones costs, but so do misses: buckets have near places while the origin has room. */
  private double nearPart() {
    facts.roomSince = Math.max(Math.max(facts.startedAt, facts.now - NEAR_RAMP), facts.roomSince);
    boolean pays = facts.zones > 1 && facts.settings.prices().crossZone() > 0;
    return pays ? (facts.now - facts.roomSince) / NEAR_RAMP : 0;
  }

  /** A fetch that failed or found no room takes all near places back: shared ones miss less. */
  public void strain() {
    facts.roomSince = facts.now;
  }

  /**
   * A bucket has as many primaries as its traffic fills: a key hotter than two caches would sink them. At a
   * cold cache the request at hand counts half: who sees little may see a hot key for the first time.
   */
  private int copy(Request r, int start) {
    int caches = facts.caches.size();
    double warmth = caches == 0 ? 1 : cold.warmth(facts.points.owner(start), facts.now);
    double seen = facts.frequency.of(r.bucket) - (warmth < 1 ? COLD_SIGHT : 1);
    double share = Math.max(0, seen) / (facts.frequency.total() + caches);
    double filled = share * caches / (COPY_PART * warmth);
    return (int) Math.max(0, Math.min(caches - 2, r.luck * (1 + Math.floor(filled))));
  }
}

package beampoint.policy.ring;

import beampoint.Balancer.WeightSource;
import beampoint.policy.idempotency.RetrySafety;
import beampoint.policy.slowstart.SlowStart;
import beampoint.policy.state.BucketFrequency;
import beampoint.policy.state.Hash;
import beampoint.policy.state.Node;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Request;
import java.util.ArrayList;
import java.util.List;

/**
 * Placement of keys on caches, after the C2DN paper (sections 2 and 4, appendix on bucket assignment): keys
 * hash into buckets on a weighted consistent hash ring that all balancers build alike; a bucket goes to its
 * first distinct cache clockwise, and what that can't take spills to the next. Departures from the paper
 * state their reason.
 */
public record Ring(PolicyState state, SlowStart slowStart) {

  private static final int BUCKETS = 4096; // many for each cache: one is a small part of its load
  private static final int POINTS_PER_WEIGHT = 100; // on the ring for each unit of list weight
  private static final int WARM_UP_STEPS = 16; // in which the points of a warming cache grow
  private static final double BUCKET_SHARE = 0.5; // of a cache's fair share that one bucket may fill there
  private static final double COLD_DISCOUNT = 0.5; // of a new request, which a cold cache's bucket omits
  private static final double FREQUENCY_HALF_LIFE_MS = 30_000; // of requests counted for a bucket
  private static final double ZONE_LOCAL_RAMP_MS = 8_000; // in which all buckets get caches in each zone

  public Ring {
    state.bucketFrequency = new BucketFrequency(BUCKETS, FREQUENCY_HALF_LIFE_MS);
  }

  /** Assigns a new request to its bucket and counts it there. */
  public void assignBucket(Request request) {
    request.bucket =
        (int) Long.remainderUnsigned(Hash.of(request.key >= 0 ? request.key : ~request.id), BUCKETS);
    state.bucketFrequency.add(state.now, request.bucket);
  }

  /**
   * Puts every running cache on the ring, with points by weight. A warming cache has only the first points
   * of its sequence, since its full share would overload it. Their number follows steps of the clock, so that
   * all balancers agree.
   */
  public void update() {
    double step = Math.max(1, state.settings.rules().warmUp() / WARM_UP_STEPS);
    boolean live = state.settings.weightSource() == WeightSource.LIVE;
    double steppedNow = Math.floor(state.now / step) * step;
    state.ringUpdateAt = Double.POSITIVE_INFINITY;
    List<Node> changed = new ArrayList<>();
    for (Node node : state.nodes.values()) {
      double share = slowStart.warmth(node, steppedNow);
      if (node.isCache() && share < 1) {
        state.ringUpdateAt = steppedNow + step;
      }
      // Live weights follow the load late and would move buckets back and forth. The greatest weight listed
      // for the kind of machine stands for its size.
      double weight =
          live ? state.maxWeights.get(node.endpoint.kind()) : Math.max(0, node.endpoint.weight());
      int count =
          node.isCache() ? Math.max(1, (int) Math.round(POINTS_PER_WEIGHT * weight * share)) : 0;
      if (count != node.pointCount) {
        node.pointCount = count;
        changed.add(node);
      }
    }
    state.ringPoints.replace(changed);
  }

  /** Updates the ring if the clock has reached the next step of a warm-up. */
  public void updateIfDue() {
    if (state.now >= state.ringUpdateAt) {
      update();
    }
  }

  /**
   * The cache for a request: its primary for index 0, else the index-th distinct ready cache after it,
   * without those already tried. Null where there are not so many.
   */
  public Node cacheFor(Request request, int index) {
    int start = state.ringPoints.after(Hash.of(~(long) request.bucket));
    int skip = primaryIndex(request, start) + index;
    List<Node> passed = new ArrayList<>(request.tried);
    Node local = request.bucket < zoneLocalPart() * BUCKETS ? zoneLocalCache(start) : null;
    if (local != null && !passed.contains(local) && isReady(local, request)) {
      if (skip-- == 0) {
        return local;
      }
      passed.add(local);
    }
    for (int i = 0; i < state.ringPoints.size(); i++) {
      Node node = state.ringPoints.owner(start + i);
      if (!passed.contains(node)) {
        // A cold cache takes its own buckets only, not what its neighbours on the ring spill.
        if ((i == 0 ? slowStart.maySend(node) : !slowStart.isCold(node)) && isReady(node, request)
            && skip-- == 0) {
          return node;
        }
        passed.add(node);
      }
    }
    return null;
  }

  private boolean isReady(Node node, Request request) {
    return state.now >= node.ejectedUntil && state.now < RetrySafety.startBy(request, node);
  }

  /**
   * The first warm cache clockwise in this balancer's zone. Null where the bucket's first cache is cold, as
   * that would be sent too little to warm up, and where the zone has no warm cache.
   */
  private Node zoneLocalCache(int start) {
    for (int i = 0; i < state.ringPoints.size(); i++) {
      Node node = state.ringPoints.owner(start + i);
      boolean isCold = slowStart.isCold(node);
      if (isCold ? i == 0 : node.endpoint.zone() == state.settings.zone()) {
        return isCold ? null : node;
      }
    }
    return null;
  }

  /**
   * The part of the buckets, 0 to 1, that have a cache in each zone. That saves the price of crossing zones
   * but costs misses, so it grows while the origin has room.
   */
  private double zoneLocalPart() {
    state.originHasRoomSince =
        Math.max(Math.max(state.startedAt, state.now - ZONE_LOCAL_RAMP_MS), state.originHasRoomSince);
    boolean pays = state.zones > 1 && state.settings.prices().crossZone() > 0;
    return pays ? (state.now - state.originHasRoomSince) / ZONE_LOCAL_RAMP_MS : 0;
  }

  /** Withdraws all zone-local caches after a fetch that failed or found no room: shared ones miss less. */
  public void onOriginOverload() {
    state.originHasRoomSince = state.now;
  }

  /**
   * Which of its bucket's primaries a request goes to. A bucket has as many as its traffic fills: a key with
   * more traffic than two caches can take would overload them. At a cold cache the request itself counts
   * half: for a balancer with little traffic it may be the first one of a hot key.
   */
  private int primaryIndex(Request request, int start) {
    int caches = state.caches.size();
    double warmth = caches == 0 ? 1 : slowStart.warmth(state.ringPoints.owner(start), state.now);
    double counted =
        state.bucketFrequency.of(request.bucket) - (warmth < 1 ? COLD_DISCOUNT : 1);
    double share = Math.max(0, counted) / (state.bucketFrequency.total() + caches);
    double filled = share * caches / (BUCKET_SHARE * warmth);
    return (int) Math.max(0, Math.min(caches - 2, request.placementDraw * (1 + Math.floor(filled))));
  }
}

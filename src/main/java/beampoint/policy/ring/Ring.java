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
 * Placement of keys on caches as in the C2DN paper (sections 2 and 4, appendix on bucket assignment): keys
 * are hashed into buckets on a weighted consistent hash ring that is the same at all balancers; a bucket goes
 * to its first distinct cache clockwise, and requests that this one can't take spill to the next. Where the
 * code differs from the paper, a comment gives the reason.
 */
public record Ring(PolicyState state, SlowStart slowStart) {

  /** Many for each cache, so that one bucket is a small part of a cache's load. */
  private static final int BUCKETS = 4096;
  /** Number of points on the ring for each unit of list weight. */
  private static final int POINTS_PER_WEIGHT = 100;
  /** Number of steps in which a warming cache gets its points. */
  private static final int WARM_UP_STEPS = 16;
  /**
   * Fraction of a cache's fair share of the load that one bucket may use before it gets a further primary.
   */
  private static final double BUCKET_SHARE = 0.5;
  /**
   * The new request itself is left out of the count of its bucket. If the bucket's cache is cold, only this
   * fraction of it is left out.
   */
  private static final double COLD_DISCOUNT = 0.5;
  /** Half-life of the decaying number of requests of a bucket, in ms. */
  private static final double FREQUENCY_HALF_LIFE_MS = 30_000;
  /** Time in ms over which zone-local placement is extended to all buckets. */
  private static final double ZONE_LOCAL_RAMP_MS = 8_000;

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
   * Puts every running cache on the ring, with points by weight. A warming cache has only part of its points,
   * since its full share would overload it. Their number changes at fixed times that are the same for all
   * balancers, so that their rings agree.
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
      // Live weights follow the load with a delay and would move buckets back and forth. The greatest weight
      // listed for the type of machine is used as its size.
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

  /** Updates the ring if the next step of a warm-up is due. */
  public void updateIfDue() {
    if (state.now >= state.ringUpdateAt) {
      update();
    }
  }

  /**
   * The cache for a request: its primary for index 0, otherwise the index-th distinct ready cache after it,
   * without those already tried. Null if there are too few.
   */
  public Node cacheFor(Request request, int index) {
    int start = state.ringPoints.firstIndexFrom(Hash.of(~(long) request.bucket));
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
        // A cold cache gets requests of its own buckets only, not those that spill from other caches.
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
    return state.now >= node.ejectedUntil && state.now < RetrySafety.arriveBy(request, node);
  }

  /**
   * The first warm cache clockwise in this balancer's zone. Null if the bucket's first cache is cold (it
   * would otherwise get too few requests to warm up) or if the zone has no warm cache.
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
   * The fraction of the buckets, 0 to 1, that have a cache in each zone. Zone-local placement saves the price
   * of crossing zones but causes more misses, so it is extended gradually while the origin has room.
   */
  private double zoneLocalPart() {
    state.originHasRoomSince =
        Math.max(Math.max(state.startedAt, state.now - ZONE_LOCAL_RAMP_MS), state.originHasRoomSince);
    boolean pays = state.zones > 1 && state.settings.prices().crossZone() > 0;
    return pays ? (state.now - state.originHasRoomSince) / ZONE_LOCAL_RAMP_MS : 0;
  }

  /**
   * Stops zone-local placement after a fetch that failed or for which the origin had no room: without it each
   * key is on fewer caches, so fewer reads miss.
   */
  public void onOriginOverload() {
    state.originHasRoomSince = state.now;
  }

  /**
   * The index of the cache that is the primary for a request. A hot bucket has several primaries, as many
   * caches as its traffic fills, since a key with more traffic than two caches can take would overload them;
   * the request's random draw picks one. At a cold cache half of the request itself is counted: for a
   * balancer with little traffic it may be the first one of a hot key.
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

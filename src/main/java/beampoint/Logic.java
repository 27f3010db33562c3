package beampoint;

import beampoint.State.Attempt;
import beampoint.State.Node;
import beampoint.State.Request;
import beampoint.State.Usage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Every decision of a balancer. The interface (settings, events, actions) is in Balancer.java.
 *
 * <p>Ordinary path (after the C2DN paper, sections 2 and 4 and the appendix on bucket assignment): keys hash
 * into buckets, buckets onto a weighted consistent hash ring that all balancers build alike; a bucket goes to
 * its first distinct cache clockwise and spills, when that one is busy, to the next distinct cache. What
 * departs from it says which failure it guards against. Read it top to bottom, as a request meets it.
 */
public final class Logic implements Balancer {

  // ---- Settings -------------------------------------------------------------------------------------------

  /** Buckets on the ring: many to a cache, so that one bucket is a small part of a cache's load. */
  private static final int BUCKETS = 4096;
  /** Ring points for each unit of list weight. */
  private static final int POINTS = 100;
  /** A primary spills above this multiple of the mean in flight, and at least SPILL_EXTRA over it. */
  private static final double SPILL_FACTOR = 2;
  private static final int SPILL_EXTRA = 2;
  /** A warming cache's points grow in this many steps, so that the ring is rebuilt seldom. */
  private static final int WARM_STEPS = 8;
  /** The part of the time to the aim that an expected time may fill: after a cache, a miss comes on top. */
  private static final double CACHE_PART = 0.6;
  private static final double ORIGIN_PART = 1;
  /** The part of a worthier class's aim that queues of lesser work may fill. */
  private static final double YIELD_PART = 0.5;
  /** Traffic beyond a tenant's share, which is worth little, waits only this part of that. */
  private static final double OVER_SHARE_PART = 0.4;
  /** Weight of the newest observation in a moving mean, of an endpoint and of a class at all caches. */
  private static final double GAIN = 0.1;
  private static final double CLASS_GAIN = 0.01;
  /** A moving mean without news loses half its excess in this time (ms). */
  private static final double FADE = 1000;
  /** Share of errors at which a cache is skipped. */
  private static final double ERROR_LIMIT = 0.3;
  /** The first pause of an unready cache and the longest (ms). */
  private static final double FIRST_PAUSE = 250;
  private static final double LONGEST_PAUSE = 2000;
  /** Further attempts after a failure, as a share of requests, and the most saved up. */
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_BURST = 20;
  /** What a balancer may send to a cold cache in a window whatever was served, so that it can start. */
  private static final int COLD_FLOOR = 2;
  /** The most that was served in a window counts half after this time (ms): capacity changes slowly. */
  private static final double BEST_FADE = 300_000;
  /** The token of the list's timer; the timers of requests carry their ids, which are smaller. */
  private static final long LIST_TIMER = 1L << 60;

  private final Settings settings;
  private final Random random;
  private final List<Action> out = new ArrayList<>();
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Map<Long, Request> requests = new HashMap<>();
  /** Reads of one key at the origin, each with the requests that wait for it. */
  private final Map<Long, ArrayDeque<Request>> fetches = new HashMap<>();
  /** Attempts of requests that have ended count at their endpoint until their outcome comes. */
  private final Map<Long, Attempt> orphans = new HashMap<>();
  /** The greatest weight that the list has named for each kind of endpoint. */
  private final Map<Integer, Double> sizes = new HashMap<>();
  private final List<Usage> usages = new ArrayList<>();
  /** By how much a class takes longer than the mean at the same cache, or less (ms). */
  private final double[] extraTime;
  private double now;
  private double windowStart;
  private int windowServed;
  private double servedAtBest;
  private double retryBudget = RETRY_BURST;
  private int listFailures;
  private boolean listAnswered;

  public Logic(Settings settings) {
    this.settings = settings;
    this.random = new Random(settings.seed());
    this.extraTime = new double[settings.classes().size()];
    settings.tenants().forEach(t -> usages.add(new Usage()));
  }

  @Override
  public List<Action> handle(double time, Event event) {
    now = time;
    out.clear();
    if (event instanceof ListReceived e) {
      onList(e);
    } else if (event instanceof RequestReceived e) {
      onRequest(e);
    } else if (event instanceof AttemptEnded e) {
      onAttemptEnded(e);
    } else if (event instanceof RequestGone e) {
      finish(requests.get(e.id()));
    } else if (event instanceof TimerFired e) {
      onTimer(e.token());
    }
    return List.copyOf(out);
  }

  // ---- Ring -----------------------------------------------------------------------------------------------

  private long[] ringHashes = new long[0];
  private Node[] ringNodes = new Node[0];
  private int[] bucketStart = new int[BUCKETS];
  private double ringDueAt = Double.POSITIVE_INFINITY;

  /**
   * Puts every running cache on the ring with points by weight. A warming cache has only the first points of
   * its sequence, in step with the stated warm-up (the paper assumes a replacement that works in full at
   * once; here its full share would push it over): all balancers agree, and only its own buckets move.
   */
  private void buildRing() {
    TreeMap<Long, Node> points = new TreeMap<>(Long::compareUnsigned);
    ringDueAt = Double.POSITIVE_INFINITY;
    for (Node node : nodes.values()) {
      if (node.isCache()) {
        double share = 1;
        if (warmth(node) < 1) {
          double step = settings.rules().warmUp() / WARM_STEPS;
          double steps = Math.floor((now - node.startedAt) / step);
          share = settings.rules().warmth(steps * step);
          ringDueAt = Math.min(ringDueAt, node.startedAt + (steps + 1) * step);
        }
        long sequence = Hash.of(node.entry.id());
        int count = Math.max(1, (int) Math.round(POINTS * node.weight * share));
        for (int i = 0; i < count; i++) {
          points.putIfAbsent(Hash.of(sequence + i), node);
        }
      }
    }
    ringHashes = new long[points.size()];
    ringNodes = points.values().toArray(new Node[0]);
    int at = 0;
    for (long point : points.keySet()) {
      ringHashes[at++] = point ^ Long.MIN_VALUE;
    }
    for (int bucket = 0; bucket < BUCKETS && at > 0; bucket++) {
      int found = Arrays.binarySearch(ringHashes, Hash.of(~(long) bucket) ^ Long.MIN_VALUE);
      bucketStart[bucket] = (found >= 0 ? found : -found - 1) % at;
    }
  }

  // ---- Pick -----------------------------------------------------------------------------------------------

  /** The primary, or the next distinct cache when that one is busy; null if neither can take it. */
  private Node pick(Request r) {
    if (now >= ringDueAt) {
      buildRing();
    }
    Node primary = nextReady(r, null);
    if (primary == null) {
      return null;
    }
    boolean primaryHasRoom = hasRoom(primary, r);
    if (primaryHasRoom && !spills(primary)) {
      return primary;
    }
    Node second = nextReady(r, primary);
    if (second != null && hasRoom(second, r)) {
      return second;
    }
    if (primaryHasRoom) {
      return primary;
    }
    Node sooner = second == null || expectedTime(primary) <= expectedTime(second) ? primary : second;
    return !r.overShare && fits(sooner, r.typeIndex, r.aimAt - now) && fleetHasRoom() ? sooner : null;
  }

  /**
   * Whether the caches have room on average. Refusing is for overload; guards against refusals in a fleet
   * with room to spare because a key's two caches are behind for a moment, or one of them is slow.
   */
  private boolean fleetHasRoom() {
    double mean = nodes.values().stream().filter(Node::isCache).mapToDouble(this::expectedTime).average()
        .orElse(0);
    double shortest = settings.classes().stream().mapToDouble(RequestClass::aim).min().orElse(0);
    return mean <= shortest * YIELD_PART;
  }

  /** The first ready cache clockwise from the bucket that is not yet tried and is not the given one. */
  private Node nextReady(Request r, Node other) {
    int start = bucketStart[r.bucket];
    Node last = null;
    for (int i = 0; i < ringNodes.length; i++) {
      Node node = ringNodes[(start + i) % ringNodes.length];
      if (node != last && node != other && !r.tried.contains(node) && isReady(node) && mayRunAt(r, node)) {
        return node;
      }
      last = node;
    }
    return null;
  }

  private boolean spills(Node primary) {
    double mean =
        nodes.values().stream().filter(Node::isCache).mapToInt(n -> n.inFlight).average().orElse(0);
    return primary.inFlight > SPILL_FACTOR * mean && primary.inFlight >= mean + SPILL_EXTRA;
  }

  /**
   * Whether an endpoint is expected to answer before the aim; the paper sends whatever the load. Guards
   * against queues of work whose answers come too late. An idle endpoint's time fades, so it is tried again.
   */
  private boolean hasRoom(Node node, Request r) {
    double left = (r.type.lateWorth() > 0 && now > r.aimAt ? r.deadline : r.aimAt) - now;
    double part = r.overShare ? OVER_SHARE_PART : 1;
    boolean room = fits(node, r.typeIndex, left * part * (node.origin ? ORIGIN_PART : CACHE_PART));
    for (int i = 0; i < extraTime.length; i++) {
      RequestClass other = settings.classes().get(i);
      room &= other.worth() <= r.type.worth() || fits(node, i, other.aim() * part * YIELD_PART);
    }
    return room;
  }

  /** Whether one more attempt of a class is expected to end within the time; heavier classes take longer. */
  private boolean fits(Node node, int typeIndex, double time) {
    return expectedTime(node) + (node.origin ? 0 : extraTime[typeIndex]) <= time;
  }

  /** The time one more attempt would take: the recent time, scaled by how much more is out now than then. */
  private double expectedTime(Node node) {
    if (node.inFlight == 0) {
      node.time *= Math.pow(0.5, (now - node.observedAt) / FADE);
      node.observedAt = now;
    }
    return Math.max(node.time * Math.max(1, (node.inFlight + 1) / node.depth), node.oldest(now));
  }

  // ---- Readiness ------------------------------------------------------------------------------------------

  /**
   * Guards against caches that the list still names as running but that refuse, break or fail requests, and
   * against a cold cache that has had its part: both are skipped for the next distinct cache.
   */
  private boolean isReady(Node node) {
    return now >= node.pausedUntil && (warmth(node) >= 1 || !overColdBudget(node));
  }

  private void observe(Attempt attempt, double elapsed, Result result) {
    Node node = attempt.node;
    if (result == Result.OK && !node.origin) {
      double extra = node.time == 0 ? 0 : elapsed - node.time;
      extraTime[attempt.typeIndex] = State.average(extraTime[attempt.typeIndex], extra, CLASS_GAIN);
    }
    if (result == Result.OK || result == Result.TIMEOUT) {
      // Guards against learning too late where a balancer seldom sends: rare news counts for more.
      double gain = Math.max(GAIN, 1 - Math.pow(0.5, (now - node.learnedAt) / FADE));
      double seen = result == Result.OK ? elapsed : Math.max(elapsed, node.time);
      node.time = node.time == 0 ? seen : State.average(node.time, seen, gain);
      node.depth = State.average(node.depth, attempt.depth, gain);
      node.learnedAt = now;
      node.observedAt = now;
      countServed(result == Result.OK ? 1 : 0);
    }
    boolean broken = result == Result.CONNECT_FAILED || result == Result.RESET;
    node.errors = State.average(node.errors, result == Result.ERROR || broken ? 1 : 0, GAIN);
    if (node.origin) {
      return;
    }
    if (broken || node.errors > ERROR_LIMIT) {
      pause(node);
    } else if (result == Result.OK) {
      node.failures = 0;
    }
  }

  /** Skips a cache, longer each time; never when half of the caches are: then the cause is shared. */
  private void pause(Node node) {
    long caches = nodes.values().stream().filter(Node::isCache).count();
    long paused = nodes.values().stream().filter(n -> n.isCache() && now < n.pausedUntil).count();
    if (now >= node.pausedUntil && paused < caches / 2) {
      double length = Math.min(LONGEST_PAUSE, FIRST_PAUSE * (1L << Math.min(node.failures++, 10)));
      node.pausedUntil = now + length;
      node.errors /= 2;
      out.add(new Log("ejected " + node.entry.id() + " for " + Math.round(length) + " ms"));
    }
  }

  // ---- Warm-up budget -------------------------------------------------------------------------------------

  private double warmth(Node node) {
    return node.startedAt <= 0 ? 1 : settings.rules().warmth(now - node.startedAt);
  }

  /**
   * A cold cache is sent, in each window, no more than its present part of the most that this balancer served
   * in one, with half of the stated multiple as leeway. What was served is within capacity; what was sent may
   * not be: in a storm of misses and retries it allowed too much. What was fetched counts as served, and the
   * best window is kept long: after a deploy that empties all caches, a budget by recent hits starved them.
   * Every balancer goes by its own traffic, so the sum keeps the rule however unequal they are.
   */
  private boolean overColdBudget(Node cold) {
    double part = servedAtBest * warmth(cold) * cold.weight;
    return cold.sentSince(now - settings.rules().fallWindow()) + 1
        > COLD_FLOOR + part * settings.rules().fallMultiple() / 2;
  }

  /** Counts what is served a window and unit of weight; as if all were warm, lest cold ones raise it. */
  private void countServed(int more) {
    double window = settings.rules().fallWindow();
    if (now - windowStart >= window) {
      double capacity = nodes.values().stream().filter(Node::isCache).mapToDouble(n -> n.weight).sum();
      double lately = capacity > 0 ? windowServed / capacity * window / (now - windowStart) : 0;
      servedAtBest = Math.max(lately, servedAtBest * Math.pow(0.5, (now - windowStart) / BEST_FADE));
      windowStart = now;
      windowServed = 0;
    }
    windowServed += more;
  }

  // ---- Origin gate ----------------------------------------------------------------------------------------

  /** The origin, if it runs, may be sent the request and can answer it in time; else null. */
  private Node openOrigin(Request r) {
    return nodes.values().stream().filter(n -> n.origin && n.entry.state() == EndpointState.RUNNING)
        .findFirst().filter(n -> mayRunAt(r, n) && hasRoom(n, r)).orElse(null);
  }

  /**
   * A read that missed goes to the origin, unless this balancer already fetches the key: then it waits for
   * that fetch and asks the cache again. When the origin cannot answer in time, the second cache may hold it.
   */
  private void onMiss(Request r) {
    ArrayDeque<Request> waiting = r.key < 0 ? null : fetches.get(r.key);
    int attemptsLeft = settings.limits().maxAttempts() - r.attempts;
    if (waiting != null && attemptsLeft >= 2) {
      waiting.add(r);
      out.add(new SetTimer(Math.max(1, Math.min(r.aimAt, r.deadline) - now), r.id));
      return;
    }
    Node origin = attemptsLeft >= 1 ? openOrigin(r) : null;
    if (origin != null) {
      if (waiting == null && r.key >= 0) {
        fetches.put(r.key, new ArrayDeque<>());
        r.fetching = true;
      }
      send(r, origin);
      return;
    }
    if (r.tried.size() < 2 && attemptsLeft >= 2) {
      sendOrGiveUp(r, pick(r));
    } else {
      giveUp(r);
    }
  }

  /** Sends the requests that waited for a fetch back to their cache, or lets one of them fetch. */
  private void endFetch(Request leader, boolean stored) {
    if (!leader.fetching) {
      return;
    }
    leader.fetching = false;
    for (Request r : fetches.remove(leader.key)) {
      if (!requests.containsKey(r.id)) {
        continue;
      }
      if (stored) {
        r.tried.clear();
        dispatch(r);
      } else {
        onMiss(r);
      }
    }
  }

  // ---- Requests, retries and final answers ----------------------------------------------------------------

  private void onRequest(RequestReceived e) {
    Request r = new Request();
    r.id = e.id();
    r.typeIndex = e.requestClass();
    r.type = settings.classes().get(e.requestClass());
    r.aimAt = now + r.type.aim();
    r.deadline = e.notAfter();
    r.key = e.key();
    r.write = e.write();
    r.bucket = (int) Long.remainderUnsigned(Hash.of(e.key() >= 0 ? e.key() : ~e.id()), BUCKETS);
    r.overShare = e.tenant() < usages.size() && countUsage(e.tenant());
    requests.put(r.id, r);
    retryBudget = Math.min(RETRY_BURST, retryBudget + RETRY_SHARE);
    dispatch(r);
  }

  /**
   * Counts a request of a tenant; true when it is beyond the tenant's share. A quota is fleet-wide and a
   * balancer sees an unknown part of it: that part is taken from the tenants' median use of their quotas.
   */
  private boolean countUsage(int tenant) {
    double[] uses = new double[usages.size()];
    for (int i = 0; i < uses.length; i++) {
      double rate = usages.get(i).count(now, 4 * FADE, i == tenant ? 1 : 0);
      uses[i] = rate / Math.max(1e-9, settings.tenants().get(i).quotaPerSecond());
    }
    double own = uses[tenant];
    Arrays.sort(uses);
    double part = Math.max(uses[uses.length / 2], 1.0 / settings.siblings());
    Usage usage = usages.get(tenant);
    usage.tokens = Math.min(1, usage.tokens + Math.min(1, part / own));
    if (usage.tokens < 1) {
      return true;
    }
    usage.tokens -= 1;
    return false;
  }

  /** A read goes to its cache; a write goes to the origin, which voids the kept copies itself. */
  private void dispatch(Request r) {
    sendOrGiveUp(r, r.write && settings.originKind() >= 0 ? openOrigin(r) : pick(r));
  }

  private void sendOrGiveUp(Request r, Node node) {
    if (node == null) {
      giveUp(r);
    } else {
      send(r, node);
    }
  }

  private void send(Request r, Node node) {
    Attempt attempt = new Attempt();
    attempt.node = node;
    attempt.sentAt = now;
    attempt.typeIndex = r.typeIndex;
    attempt.depth = ++node.inFlight;
    node.flights.add(attempt);
    if (!node.origin) {
      node.sends.add(now);
      node.sentSince(now - settings.rules().fallWindow());
    }
    r.attempts++;
    r.current = attempt;
    out.add(new Send(r.id, node.entry.id(), 0));
  }

  private void onAttemptEnded(AttemptEnded e) {
    Request r = requests.get(e.id());
    if (r == null || r.current == null || r.attempts - 1 != e.attempt()) {
      Attempt orphan = orphans.remove(e.id());
      if (orphan != null) {
        land(orphan, e);
      }
      return;
    }
    Attempt attempt = r.current;
    r.current = null;
    land(attempt, e);
    if (!e.result().neverRan && r.mayHaveRunAt == null) {
      r.mayHaveRunAt = attempt.node;
      r.mayHaveRunSince = attempt.sentAt;
    }
    if (e.done()) {
      finish(r);
    } else if (e.result() == Result.MISS) {
      r.tried.add(attempt.node);
      onMiss(r);
    } else {
      onFailure(r, attempt.node, e.result());
    }
  }

  private void land(Attempt attempt, AttemptEnded e) {
    attempt.over = true;
    attempt.node.inFlight--;
    observe(attempt, e.elapsed(), e.result());
  }

  private void onFailure(Request r, Node node, Result result) {
    endFetch(r, false);
    boolean useful = result != Result.NOT_SENT && now < (r.type.lateWorth() > 0 ? r.deadline : r.aimAt);
    if (!useful || retryBudget < 1 || r.attempts >= settings.limits().maxAttempts()) {
      giveUp(r);
      return;
    }
    retryBudget -= 1;
    if (node.origin) {
      sendOrGiveUp(r, openOrigin(r));
    } else {
      r.tried.add(node);
      sendOrGiveUp(r, pick(r));
    }
  }

  /** The rule on effects: where a request that may have run may be sent again. */
  private boolean mayRunAt(Request r, Node node) {
    if (r.mayHaveRunAt == null || r.type.idempotency() == Idempotency.SAFE) {
      return true;
    }
    if (r.type.idempotency() == Idempotency.UNSAFE || now - r.mayHaveRunSince >= r.type.dedupWindow()) {
      return false;
    }
    return switch (r.type.group()) {
      case ALL -> true;
      case ZONE -> node.entry.zone() == r.mayHaveRunAt.entry.zone();
      case CELL -> node.entry.cell() == r.mayHaveRunAt.entry.cell();
    };
  }

  private boolean mayRefuse(Request r) {
    return r.mayHaveRunAt == null || r.type.idempotency() == Idempotency.SAFE
        || r.type.idempotency() == Idempotency.KEYED && r.type.group() == DedupGroup.ALL;
  }

  /** The one way to a final answer of this balancer's own: at once, a refusal where that is truthful. */
  private void giveUp(Request r) {
    if (mayRefuse(r)) {
      double wait = settings.limits().retryAdvice() ? settings.limits().maxRetryAfter() : 0;
      out.add(new Refuse(r.id, wait));
    } else {
      out.add(new Fail(r.id));
    }
    finish(r);
  }

  private void finish(Request r) {
    if (r != null && requests.remove(r.id) != null) {
      if (r.current != null) {
        orphans.put(r.id, r.current);
      }
      endFetch(r, r.current == null);
    }
  }

  private void onTimer(long token) {
    Request r = requests.get(token);
    if (token == LIST_TIMER && !listAnswered) {
      followList();
    } else if (r != null && r.current == null && now + 1 >= Math.min(r.aimAt, r.deadline)) {
      giveUp(r);
    }
  }

  // ---- List following -------------------------------------------------------------------------------------

  /**
   * A live weight falls with load and comes late: on the ring it would make buckets wander. The most that was
   * ever listed for a kind is its size at rest, steady and alike at every balancer.
   */
  private void onList(ListReceived e) {
    if (e.kind() == ListKind.UNAVAILABLE) {
      listFailures++;
      double wait = FIRST_PAUSE * (1L << Math.min(listFailures, 4)) * (0.5 + random.nextDouble());
      out.add(new SetTimer(wait, LIST_TIMER));
      return;
    }
    if (e.kind() == ListKind.FULL) {
      List<String> named = e.endpoints().stream().map(Endpoint::id).toList();
      nodes.values().stream().filter(n -> !named.contains(n.entry.id()))
          .forEach(n -> n.entry = n.entry.gone());
    }
    for (Endpoint entry : e.endpoints()) {
      Node node = nodes.computeIfAbsent(entry.id(), id -> new Node());
      if (node.entry != null && entry.startedAt() > node.startedAt) {
        node.pausedUntil = 0;
        node.failures = 0;
        node.errors = 0;
        node.sends.clear();
      }
      node.entry = entry;
      node.origin = entry.kind() == settings.originKind();
      node.startedAt = entry.startedAt();
      sizes.merge(entry.kind(), Math.max(0, entry.weight()), Math::max);
    }
    for (Node node : nodes.values()) {
      boolean live = settings.weightSource() == WeightSource.LIVE;
      node.weight = live ? sizes.get(node.entry.kind()) : Math.max(0, node.entry.weight());
    }
    nodes.values().removeIf(n -> n.entry.state() == EndpointState.GONE && n.inFlight == 0);
    buildRing();
    if (e.kind() == ListKind.REMEMBERED) {
      followList();
    } else {
      listFailures = 0;
      listAnswered = true;
    }
  }

  /** Where the list must be asked for, subscribes, and asks again after a refusal or a silence. */
  private void followList() {
    if (!settings.listPushed()) {
      listAnswered = false;
      out.add(new FollowList());
      out.add(new SetTimer(settings.rules().askEvery() / 2, LIST_TIMER));
    }
  }
}

package beampoint.policy;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.Settings;
import beampoint.Balancer.Tenant;
import beampoint.Balancer.WeightSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One balancer, driven with events and a clock that tests set. Times are in ms. */
final class BalancerFixture {

  /** Number of keys in a placement, unless a test gives another. */
  static final int KEYS = 2_000;

  static final int CACHE = 0;
  static final int ORIGIN = 1;
  static final RequestClass READ = requestClass(Idempotency.SAFE, DedupGroup.ALL);

  final Balancer balancer;
  double now = 1_000;
  private long nextId;

  BalancerFixture(RequestClass... classes) {
    this(List.of(), classes);
  }

  BalancerFixture(List<Tenant> tenants, RequestClass... classes) {
    this(settings(tenants, true, classes));
  }

  BalancerFixture(Settings settings) {
    balancer = new BalancerPolicy(settings);
  }

  BalancerFixture(boolean probes, RequestClass... classes) {
    this(settings(List.of(), true, probes, new Balancer.Prices(0, 0, 0, 0), classes));
  }

  static Settings settings(List<Tenant> tenants, boolean listPushed, RequestClass... classes) {
    return settings(tenants, listPushed, false, new Balancer.Prices(0, 0, 0, 0), classes);
  }

  static Settings settings(List<Tenant> tenants, boolean listPushed, boolean probes, Balancer.Prices prices,
      RequestClass... classes) {
    // Settings: seed, siblings, zone, listPushed, weightSource, originKind, overShareWorth, ...
    // Limits: maxAttempts, hedgedRequests, probes, retryAdvice, maxRetryAfter, connectTimeout.
    // Rules: drainGrace, fallMultiple, fallWindow, coldFrom, warmUp, askEvery. Prices: connection, handshake,
    // probe, crossZone.
    return new Settings(7, 2, 0, listPushed, WeightSource.NOMINAL, ORIGIN, 0.1,
        new Balancer.Limits(3, false, probes, true, 400, 50),
        new Balancer.Rules(500, 3, 1_000, 0.25, 8_000, 10_000), prices, List.of(classes), tenants);
  }

  static RequestClass requestClass(Idempotency idempotency, DedupGroup group) {
    // RequestClass: idempotency, group, dedupWindow, aim, deadline, worth, lateWorth.
    return new RequestClass(idempotency, group, 2_000, 500, 1_500, 1, 0);
  }

  static Endpoint cache(int number) {
    return cache(number, EndpointState.RUNNING, 0);
  }

  static Endpoint cache(int number, EndpointState state, double startedAt) {
    return new Endpoint("cache-" + number, number % 2, CACHE, number % 3, state, 1, startedAt);
  }

  static Endpoint originEndpoint() {
    return new Endpoint("origin", 0, ORIGIN, 9, EndpointState.RUNNING, 1, 0);
  }

  static List<Endpoint> fleet(int caches) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < caches; i++) {
      endpoints.add(cache(i));
    }
    endpoints.add(originEndpoint());
    return endpoints;
  }

  BalancerFixture withFleet(int caches) {
    receiveList(ListKind.FULL, fleet(caches));
    return this;
  }

  /** A balancer that has served enough requests that a few more for one key do not make it a hot key. */
  static BalancerFixture withTraffic(int caches) {
    BalancerFixture f = new BalancerFixture(READ).withFleet(caches);
    for (long key = 1_000; key < 1_400; key++) {
      f.serve(key);
    }
    return f;
  }

  /** The cache of each key from 0 on, as found by reads that are served at once. */
  Map<Long, String> placement(int keys) {
    Map<Long, String> placed = new HashMap<>();
    for (long key = 0; key < keys; key++) {
      placed.put(key, serve(key));
    }
    return placed;
  }

  Map<Long, String> placement() {
    return placement(KEYS);
  }

  List<Action> receiveList(ListKind kind, List<Endpoint> endpoints) {
    return balancer.handle(now, new ListReceived(kind, endpoints));
  }

  /** The id of the next request. */
  long nextId() {
    return nextId;
  }

  List<Action> read(long key) {
    return request(0, 0, key, false);
  }

  List<Action> request(int requestClass, int tenant, long key, boolean write) {
    return balancer.handle(now, new RequestReceived(nextId++, now + 1_000, tenant, requestClass, key, write));
  }

  List<Action> endAttempt(long id, int attempt, String endpoint, double elapsed, Result result) {
    boolean done = result == Result.OK;
    return balancer.handle(now, new AttemptEnded(id, attempt, endpoint, elapsed, result, done));
  }

  /** Ends an attempt with a value and a load report. */
  List<Action> endAttemptWithLoad(long id, String endpoint, double elapsed, Balancer.Load load) {
    return balancer.handle(now, new AttemptEnded(id, 0, endpoint, elapsed, Result.OK, true, load));
  }

  /** Reads a key, serves the read at once, and returns the endpoint that it was sent to. */
  String serve(long key) {
    long id = nextId;
    String endpoint = sentTo(read(key));
    endAttempt(id, 0, endpoint, 10, Result.OK);
    return endpoint;
  }

  /** The endpoint of the first attempt among the actions, or null. */
  static String sentTo(List<Action> actions) {
    return actions.stream().filter(Send.class::isInstance).map(a -> ((Send) a).endpoint()).findFirst()
        .orElse(null);
  }

  /** The delay of the first timer among the actions. */
  static double timerDelay(List<Action> actions) {
    return actions.stream().filter(SetTimer.class::isInstance).mapToDouble(a -> ((SetTimer) a).delay())
        .findFirst().orElseThrow();
  }

  /** True where an action of the type is among the actions. */
  static <T extends Action> boolean has(List<Action> actions, Class<T> type) {
    return actions.stream().anyMatch(type::isInstance);
  }
}

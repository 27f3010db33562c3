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

/** Drives one decision module with events and a clock set by hand. */
final class Fixture {

  /** How many keys a placement has, where a test names no other number. */
  static final int KEYS = 2_000;

  static final int CACHE = 0;
  static final int ORIGIN = 1;
  static final RequestClass READ = type(Idempotency.SAFE, DedupGroup.ALL);

  final Balancer balancer;
  double now = 1_000;
  private long nextId;

  Fixture(RequestClass... classes) {
    this(List.of(), classes);
  }

  Fixture(List<Tenant> tenants, RequestClass... classes) {
    this(settings(tenants, true, classes));
  }

  Fixture(Settings settings) {
    balancer = new BalancerPolicy(settings);
  }

  Fixture(boolean probes, RequestClass... classes) {
    this(settings(List.of(), true, probes, new Balancer.Prices(0, 0, 0, 0), classes));
  }

  static Settings settings(List<Tenant> tenants, boolean listPushed, RequestClass... classes) {
    return settings(tenants, listPushed, false, new Balancer.Prices(0, 0, 0, 0), classes);
  }

  static Settings settings(List<Tenant> tenants, boolean listPushed, boolean probes, Balancer.Prices prices,
      RequestClass... classes) {
    return new Settings(7, 2, 0, listPushed, WeightSource.NOMINAL, ORIGIN, 0.1,
        new Balancer.Limits(3, false, probes, true, 400, 50),
        new Balancer.Rules(500, 3, 1_000, 0.25, 8_000, 10_000), prices, List.of(classes), tenants);
  }

  static RequestClass type(Idempotency idempotency, DedupGroup group) {
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

  Fixture withFleet(int caches) {
    list(ListKind.FULL, fleet(caches));
    return this;
  }

  /** Traffic among which a few requests for one key do not make that key a hot one. */
  static Fixture busy(int caches) {
    Fixture f = new Fixture(READ).withFleet(caches);
    for (long key = 1_000; key < 1_400; key++) {
      f.served(key);
    }
    return f;
  }

  /** Where reads of the keys from 0 on are sent, each by an idle balancer. */
  Map<Long, String> placement(int keys) {
    Map<Long, String> placed = new HashMap<>();
    for (long key = 0; key < keys; key++) {
      placed.put(key, served(key));
    }
    return placed;
  }

  Map<Long, String> placement() {
    return placement(KEYS);
  }

  List<Action> list(ListKind kind, List<Endpoint> endpoints) {
    return balancer.handle(now, new ListReceived(kind, endpoints));
  }

  /** The id that the next request will have. */
  long nextId() {
    return nextId;
  }

  List<Action> read(long key) {
    return request(0, 0, key, false);
  }

  List<Action> request(int type, int tenant, long key, boolean write) {
    return balancer.handle(now, new RequestReceived(nextId++, now + 1_000, tenant, type, key, write));
  }

  List<Action> end(long id, int attempt, String endpoint, double elapsed, Result result) {
    boolean done = result == Result.OK;
    return balancer.handle(now, new AttemptEnded(id, attempt, endpoint, elapsed, result, done));
  }

  /** An attempt ends with a value and a report of load. */
  List<Action> served(long id, String endpoint, double elapsed, Balancer.Load load) {
    return balancer.handle(now, new AttemptEnded(id, 0, endpoint, elapsed, Result.OK, true, load));
  }

  /** Where a read of the key is sent by an idle balancer; the read is served at once. */
  String served(long key) {
    long id = nextId;
    String endpoint = sentTo(read(key));
    end(id, 0, endpoint, 10, Result.OK);
    return endpoint;
  }

  static String sentTo(List<Action> actions) {
    return actions.stream().filter(Send.class::isInstance).map(a -> ((Send) a).endpoint()).findFirst()
        .orElse(null);
  }

  /** For how long the first timer is set. */
  static double delay(List<Action> actions) {
    return actions.stream().filter(SetTimer.class::isInstance).mapToDouble(a -> ((SetTimer) a).delay())
        .findFirst().orElseThrow();
  }

  static <T extends Action> boolean has(List<Action> actions, Class<T> type) {
    return actions.stream().anyMatch(type::isInstance);
  }
}

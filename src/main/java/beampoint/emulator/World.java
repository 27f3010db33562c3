package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The parts of one run: proxies, cache nodes, origin, discovery, clients and faults. */
final class World {

  // Kinds of endpoints.
  static final int CACHE = 0;
  static final int ORIGIN = 1;
  static final double CLIENT_GRACE_MS = 100; // how long a client waits beyond its deadline

  final Scenario scenario;
  final Clock clock;
  double start; // of the run, in the clock's time
  final Report report;
  final Discovery discovery;
  final OriginServer origin;
  final LoadGenerator loadGenerator;
  final List<Endpoint> remembered;
  private final Map<String, CacheNode> caches = new TreeMap<>();
  private final List<Instance> proxies = new ArrayList<>();

  /** Creates the proxies of a run. */
  interface InstanceFactory {
    Instance create(World world, int number, int zone);
  }

  World(Scenario scenario, Clock clock, InstanceFactory factory) {
    this.scenario = scenario;
    this.clock = clock;
    this.start = clock.now();
    this.report = new Report(scenario);
    this.discovery = new Discovery(this, stream(1));
    this.origin = new OriginServer(this);
    this.loadGenerator = new LoadGenerator(this, stream(2), stream(3));
    UniformRandomProvider prefillRandom = stream(4);
    for (int i = 0; i < scenario.caches().count(); i++) {
      addCache("cache-" + i, i % scenario.zones(), 0);
    }
    for (int i = 0; i < scenario.proxies(); i++) {
      proxies.add(factory.create(this, i, i % scenario.zones()));
    }
    remembered = discovery.list();
    prefill(prefillRandom);
  }

  /** An independent random stream for each purpose, so that draws for one do not affect the others. */
  private UniformRandomProvider stream(int purpose) {
    return RandomSource.XO_SHI_RO_256_PP.create(scenario.seed() * 31 + purpose);
  }

  /**
   * Fills each node with random popular keys, not those that the proxies will request from it; it soon holds
   * the latter.
   */
  private void prefill(UniformRandomProvider random) {
    int popularKeys =
        Math.min(scenario.keys().count(), scenario.caches().memory() * scenario.caches().count());
    for (CacheNode node : caches.values()) {
      int count = (int) (scenario.caches().memory() * scenario.caches().filled());
      for (int i = 0; i < count; i++) {
        node.store(1 + random.nextInt(popularKeys));
      }
    }
  }

  /** The settings of a proxy for one of its starts. */
  Settings settings(Instance proxy, int incarnation) {
    long seed = scenario.seed() * 1_000_003 + proxy.number * 1009L + incarnation;
    return scenario.settings(seed, proxy.zone);
  }

  CacheNode addCache(String id, int zone, double startedAt) {
    CacheNode node = new CacheNode(this, id, zone, startedAt);
    caches.put(id, node);
    return node;
  }

  CacheNode cache(String id) {
    return caches.get(id);
  }

  Collection<CacheNode> caches() {
    return caches.values();
  }

  List<Instance> proxies() {
    return proxies;
  }

  /** True for a fraction of all requests; the result depends only on the seed and the request. */
  boolean isSelected(long request, double fraction) {
    long hash = (request + scenario.seed()) * 0x9e3779b97f4a7c15L;
    return (hash >>> 11) * 0x1p-53 < fraction;
  }

  /** Starts the proxies and runs the scenario. */
  Report run() {
    proxies.forEach(proxy -> proxy.start(remembered));
    proxies.forEach(discovery::subscribe);
    return runStarted();
  }

  /** Runs the scenario with proxies that have been started. */
  Report runStarted() {
    start = clock.now();
    report.recordStart(start);
    new Faults(this, stream(5)).schedule();
    loadGenerator.start();
    long tasks = clock.runTo(start + scenario.length());
    report.recordEnd(tasks);
    return report;
  }
}

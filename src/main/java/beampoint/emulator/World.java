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

/** All that there is on a day, wired up. */
final class World {

  static final int CACHE = 0; // kinds of endpoints
  static final int ORIGIN = 1;
  static final double PATIENCE = 100; // beyond its time that a client waits

  final Scenario scenario;
  final Clock clock;
  double start; // of the day
  final Report report;
  final Discovery discovery;
  final OriginServer origin;
  final Front front;
  final List<Endpoint> remembered;
  private final Map<String, CacheNode> caches = new TreeMap<>();
  private final List<Instance> proxies = new ArrayList<>();

  /** Makes the proxies of a day. */
  interface Maker {
    Instance make(World world, int number, int zone);
  }

  World(Scenario scenario, Clock clock, Maker maker) {
    this.scenario = scenario;
    this.clock = clock;
    this.start = clock.now();
    this.report = new Report(scenario);
    this.discovery = new Discovery(this, stream(1));
    this.origin = new OriginServer(this);
    this.front = new Front(this, stream(2), stream(3));
    UniformRandomProvider filling = stream(4);
    for (int i = 0; i < scenario.caches().count(); i++) {
      add("cache-" + i, i % scenario.zones(), 0);
    }
    for (int i = 0; i < scenario.proxies(); i++) {
      proxies.add(maker.make(this, i, i % scenario.zones()));
    }
    remembered = discovery.list();
    fill(filling);
  }

  /** A stream of random numbers for one purpose: what one draws moves no other. */
  private UniformRandomProvider stream(int purpose) {
    return RandomSource.XO_SHI_RO_256_PP.create(scenario.seed() * 31 + purpose);
  }

  /** Before the day a node holds some of the popular keys, whoever owns them: its own come soon. */
  private void fill(UniformRandomProvider random) {
    int known = Math.min(scenario.keys().count(), scenario.caches().memory() * scenario.caches().count());
    for (CacheNode node : caches.values()) {
      int count = (int) (scenario.caches().memory() * scenario.caches().filled());
      for (int i = 0; i < count; i++) {
        node.store(1 + random.nextInt(known));
      }
    }
  }

  /** What a proxy is told at one of its starts. */
  Settings settings(Instance proxy, int life) {
    long seed = scenario.seed() * 1_000_003 + proxy.number * 1009L + life;
    return scenario.settings(seed, proxy.zone);
  }

  CacheNode add(String id, int zone, double startedAt) {
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

  /** True for a part of all requests, and for one request at all times alike. */
  boolean chance(long request, double part) {
    long mixed = (request + scenario.seed()) * 0x9e3779b97f4a7c15L;
    return (mixed >>> 11) * 0x1p-53 < part;
  }

  /** Plays the day. */
  Report play() {
    proxies.forEach(proxy -> proxy.start(remembered));
    proxies.forEach(discovery::follow);
    return playOn();
  }

  /** Plays the day with proxies that have begun. */
  Report playOn() {
    start = clock.now();
    report.begins(start);
    new Faults(this, stream(5)).plan();
    front.begin();
    long tasks = clock.runTo(start + scenario.length());
    report.end(tasks);
    return report;
  }
}

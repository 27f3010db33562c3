package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Result;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/** A cache node: cores, a waiting room, memory, connections, and whatever is wrong with it. */
final class CacheNode {

  /** What it was sent, in ms of work of a warm node, and whether its sender had been told of the start. */
  private record Load(double at, double work, boolean told) {}

  private static final double BLAMED_PART = 2.0 / 3; // of a fall, from those that had been told

  private final World world;
  private final Scenario.Caches caches;
  final String id;
  final int zone;
  private final Server server;
  private final Map<Long, Boolean> memory; // the least recently used first
  private final Deque<Load> window = new ArrayDeque<>(); // while it is cold
  private double windowWork;
  double startedAt; // 0: long ago
  EndpointState listed = EndpointState.RUNNING;
  int life; // processes so far: connections end with theirs
  boolean dead;
  boolean silent;
  boolean refuses;
  double slowness = 1;
  double errorPart;
  private int connections;

  CacheNode(World world, String id, int zone, double startedAt) {
    this.world = world;
    this.caches = world.scenario.caches();
    this.id = id;
    this.zone = zone;
    this.startedAt = startedAt;
    this.server = new Server(world.clock, caches.cores(), caches.queue());
    this.memory = memory(caches.memory());
  }

  /** Room for so many keys, of which the least recently used goes. */
  static Map<Long, Boolean> memory(int room) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
        return size() > room;
      }
    };
  }

  Endpoint endpoint() {
    return new Endpoint(id, zone, World.CACHE, 0, listed, 1, startedAt);
  }

  double warmth() {
    return startedAt <= 0 ? 1 : world.scenario.rules().warmth(world.clock.now() - startedAt);
  }

  boolean isCold() {
    return warmth() < 1;
  }

  /** Opens a connection: OK, CONNECT_FAILED at once, or TIMEOUT where nobody answers. */
  Result connect() {
    if (silent) {
      return Result.TIMEOUT;
    }
    if (dead || refuses || connections >= caches.connections()) {
      return Result.CONNECT_FAILED;
    }
    connections++;
    return Result.OK;
  }

  void disconnect(int ofLife) {
    if (ofLife == life) {
      connections--;
    }
  }

  /** A request has come whole. */
  void take(Attempt attempt, boolean fresh) {
    if (dead || attempt.life != life) {
      attempt.answer(Result.RESET);
      return;
    }
    if (silent) {
      return;
    }
    if (listed == EndpointState.DRAINING) {
      attempt.answer(Result.FULL);
      return;
    }
    if (errorPart > 0 && world.chance(attempt.request.id, errorPart)) {
      attempt.answer(Result.ERROR);
      return;
    }
    double work = attempt.request.work * attempt.request.kind.work();
    press(work, attempt.instance);
    if (dead) {
      return;
    }
    double extra = fresh ? caches.handshake() : 0;
    attempt.job = server.take(() -> {
      attempt.hit = memory.get(attempt.request.key) != null;
      double part = attempt.hit ? 1 : caches.missPart();
      return (extra + work * part) * slowness / warmth();
    }, () -> attempt.answer(attempt.hit ? Result.OK : Result.MISS));
    attempt.server = server;
    if (attempt.job == null) {
      attempt.answer(Result.FULL);
    }
  }

  /**
   * The rule on cold nodes: what it was sent in a window, beside what it can do now. It bears N + 2
   * root N + 2 requests of mean work, N being what the multiple allows: chance is no storm. Each fall counts;
   * it breaks the rule where most of it came from proxies that had been told of the start.
   */
  private void press(double work, Instance from) {
    if (!isCold()) {
      window.clear();
      windowWork = 0;
      return;
    }
    double now = world.clock.now();
    double length = world.scenario.rules().fallWindow();
    window.add(new Load(now, work, from == null || from.knowsStart(this)));
    windowWork += work;
    while (window.peekFirst().at() < now - length) {
      windowWork -= window.pollFirst().work();
    }
    double capacity = caches.cores() * warmth() * length;
    double multiple = windowWork / capacity;
    double mean = windowWork / window.size();
    double allowed = world.scenario.rules().fallMultiple() * capacity / mean; // requests
    world.report.coldLoad(multiple);
    if (window.size() > allowed + 2 * Math.sqrt(allowed) + 2) {
      double told = window.stream().filter(Load::told).mapToDouble(Load::work).sum();
      world.report.coldFall();
      if (told > BLAMED_PART * windowWork) {
        world.report.broken(now, "a cold cache was pushed over: " + id);
      }
      die();
    }
  }

  void store(long key) {
    if (!dead) {
      memory.put(key, true);
    }
  }

  void forget(long key) {
    memory.remove(key);
  }

  void die() {
    dead = true;
    life++;
    connections = 0;
    server.empty();
    memory.clear();
    window.clear();
    windowWork = 0;
    world.proxies().forEach(proxy -> proxy.lost(this));
  }

  void begin() {
    dead = false;
    startedAt = world.clock.now();
  }
}

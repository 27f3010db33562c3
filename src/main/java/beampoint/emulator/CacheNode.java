package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Result;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/** A model of a cache node: cores with a queue, an LRU memory, a connection limit, and its current faults. */
final class CacheNode {

  /**
   * A request received while cold: its work in ms on a warm node, and whether the sending proxy had been
   * notified that this node has started.
   */
  private record ReceivedWork(double at, double work, boolean senderNotified) {}

  /**
   * An overload that kills a cold node counts as a broken rule if more than this fraction of the work came
   * from proxies that had been notified of its start.
   */
  private static final double NOTIFIED_WORK_FRACTION = 2.0 / 3;

  private final World world;
  private final Scenario.Caches caches;
  final String id;
  final int zone;
  private final Server server;
  private final Map<Long, Boolean> memory; // in order of use, the least recently used key first
  private final Deque<ReceivedWork> coldLoadWindow = new ArrayDeque<>(); // empty unless the node is cold
  private double coldWindowWork;
  double startedAt; // 0: long ago, so that the node is warm
  EndpointState listed = EndpointState.RUNNING;
  int incarnation; // number of process starts; a connection ends with its process
  boolean dead;
  boolean silent;
  boolean refusesConnections;
  double slowness = 1;
  double errorFraction;
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

  /** Creates an LRU memory that holds up to {@code maxKeys} keys. */
  static Map<Long, Boolean> memory(int maxKeys) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
        return size() > maxKeys;
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

  /** Opens a connection: OK, CONNECT_FAILED at once, or TIMEOUT if the node is silent. */
  Result connect() {
    if (silent) {
      return Result.TIMEOUT;
    }
    if (dead || refusesConnections || connections >= caches.connections()) {
      return Result.CONNECT_FAILED;
    }
    connections++;
    return Result.OK;
  }

  void disconnect(int ofIncarnation) {
    if (ofIncarnation == incarnation) {
      connections--;
    }
  }

  /** Handles a request that has been received completely. */
  void receive(Attempt attempt, boolean newConnection) {
    if (dead || attempt.nodeIncarnation != incarnation) {
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
    if (errorFraction > 0 && world.isSelected(attempt.request.id, errorFraction)) {
      attempt.answer(Result.ERROR);
      return;
    }
    double work = attempt.request.work * attempt.request.loadClass.work();
    recordColdLoad(work, attempt.instance);
    if (dead) {
      return;
    }
    double handshakeWork = newConnection ? caches.handshake() : 0;
    attempt.job = server.submit(() -> {
      attempt.hit = memory.get(attempt.request.key) != null;
      double workFraction = attempt.hit ? 1 : caches.missPart();
      return (handshakeWork + work * workFraction) * slowness / warmth();
    }, () -> attempt.answer(attempt.hit ? Result.OK : Result.MISS));
    attempt.server = server;
    if (attempt.job == null) {
      attempt.answer(Result.FULL);
    }
  }

  /**
   * Checks the rule on cold nodes: compares the work received in a window with the node's present capacity.
   * Let N be the number of requests of mean work that make up the configured multiple of this capacity. A
   * cold node dies if it has received more than N + 2 sqrt(N) + 2 requests in the window, so that random
   * variation alone does not overload it. Each such death is counted; it breaks the rule if most of the work
   * came from proxies that had been notified of the start.
   */
  private void recordColdLoad(double work, Instance sender) {
    if (!isCold()) {
      coldLoadWindow.clear();
      coldWindowWork = 0;
      return;
    }
    double now = world.clock.now();
    double windowLength = world.scenario.rules().fallWindow();
    coldLoadWindow.add(new ReceivedWork(now, work, sender == null || sender.knowsStart(this)));
    coldWindowWork += work;
    while (coldLoadWindow.peekFirst().at() < now - windowLength) {
      coldWindowWork -= coldLoadWindow.pollFirst().work();
    }
    double capacity = caches.cores() * warmth() * windowLength;
    double loadMultiple = coldWindowWork / capacity;
    double meanWork = coldWindowWork / coldLoadWindow.size();
    double allowedRequests = world.scenario.rules().fallMultiple() * capacity / meanWork;
    world.report.recordColdLoad(loadMultiple);
    if (coldLoadWindow.size() > allowedRequests + 2 * Math.sqrt(allowedRequests) + 2) {
      double notifiedWork = coldLoadWindow.stream().filter(ReceivedWork::senderNotified)
          .mapToDouble(ReceivedWork::work).sum();
      world.report.recordColdDeath();
      if (notifiedWork > NOTIFIED_WORK_FRACTION * coldWindowWork) {
        world.report.recordBrokenRule(now, "a cold cache was pushed over: " + id);
      }
      die();
    }
  }

  void store(long key) {
    if (!dead) {
      memory.put(key, true);
    }
  }

  void invalidate(long key) {
    memory.remove(key);
  }

  void die() {
    dead = true;
    incarnation++;
    connections = 0;
    server.clear();
    memory.clear();
    coldLoadWindow.clear();
    coldWindowWork = 0;
    world.proxies().forEach(proxy -> proxy.nodeDied(this));
  }

  void restart() {
    dead = false;
    startedAt = world.clock.now();
  }
}

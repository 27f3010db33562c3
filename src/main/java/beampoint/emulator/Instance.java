package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Result;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One proxy as the model knows it, whether it is an instance of the module or a process. */
abstract class Instance {

  private static final double TOLD_AT_LAST = 6_000; // what it missed counts as told so long after
  static final double LATE = 50; // after a request's time, within which an answer still counts

  final World world;
  final int number;
  final int zone;
  // What the agent on its machine has counts as told, also to a process that starts later.
  private final Map<String, Double> mayNotSendFrom = new TreeMap<>(); // since it was told, and the grace
  private final Map<String, Double> startTold = new TreeMap<>(); // the last start of each that it was told of
  private boolean up;
  private double diedAt = Double.NEGATIVE_INFINITY;

  Instance(World world, int number, int zone) {
    this.world = world;
    this.number = number;
    this.zone = zone;
  }

  /** Begins with nothing learnt and an old list; it is up then, or later. */
  abstract void start(List<Endpoint> remembered);

  /** Ends it at once, whatever it holds. */
  abstract void kill();

  /** Discovery tells it of nodes. */
  abstract void told(ListKind kind, List<Endpoint> endpoints);

  /** A client asks. */
  abstract void take(ClientRequest.Try clientTry);

  /** The client has left. */
  abstract void left(ClientRequest.Try clientTry);

  /** The cache nodes that lacked the key for this request. */
  abstract List<CacheNode> missedAt(ClientRequest.Try clientTry);

  /** A peer has answered; the answer is on its way. */
  abstract void answered(Attempt attempt, Result result);

  /** A cache node died: what was out there ends as a reset. */
  abstract void lost(CacheNode node);

  /** It was told of these; its grace for those that take nothing new is longer by so much. */
  final void note(List<Endpoint> endpoints, double more) {
    double from = world.clock.now() + world.scenario.rules().drainGrace() + more;
    for (Endpoint endpoint : endpoints) {
      startTold.merge(endpoint.id(), endpoint.startedAt(), Math::max);
      if (endpoint.state() == EndpointState.RUNNING) {
        mayNotSendFrom.remove(endpoint.id());
      } else {
        mayNotSendFrom.putIfAbsent(endpoint.id(), from);
      }
    }
  }

  /** True where it was told of a node's last start, or counts as told. */
  final boolean knowsStart(CacheNode node) {
    return startTold.getOrDefault(node.id, 0.0) >= node.startedAt
        || world.clock.now() >= node.startedAt + TOLD_AT_LAST;
  }

  /** The rule on drains, for what it sends now. */
  final void checkGrace(String endpoint) {
    double now = world.clock.now();
    Double from = mayNotSendFrom.get(endpoint);
    if (from != null && now > from) {
      world.report.broken(now, "sent past a drain's grace: " + endpoint);
    }
  }

  final void up() {
    up = true;
  }

  final void down() {
    up = false;
    diedAt = world.clock.now();
  }

  final boolean isUp() {
    return up;
  }

  /** True where the front still sends to it. */
  final boolean isKnownUp() {
    return up || world.clock.now() < diedAt + world.scenario.clients().frontNotices();
  }

  /** One way to a node, or to the origin. */
  final double way(CacheNode node) {
    boolean crosses = node != null && node.zone != zone;
    return world.scenario.delay() + (crosses ? world.scenario.zoneDelay() : 0);
  }
}

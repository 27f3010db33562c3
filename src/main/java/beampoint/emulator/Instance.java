package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Result;
import java.util.List;

/** One proxy as the model knows it, whether it is an instance of the module or a process. */
abstract class Instance {

  static final double LATE = 50; // after a request's time, within which an answer still counts

  final World world;
  final int number;
  final int zone;
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
  abstract void take(Ask.Try asked);

  /** The client has left. */
  abstract void left(Ask.Try asked);

  /** The cache nodes that lacked the key for this request. */
  abstract List<CacheNode> missedAt(Ask.Try asked);

  /** A peer has answered; the answer is on its way. */
  abstract void answered(Attempt attempt, Result result);

  /** A cache node died: what was out there ends as a reset. */
  abstract void lost(CacheNode node);

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

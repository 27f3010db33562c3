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

  private static final double MAX_NOTICE_DELAY_MS = 6_000; // a proxy must know of a start by then
  static final double ANSWER_TOLERANCE_MS = 50; // an answer counts until this long after its deadline

  final World world;
  final int number;
  final int zone;
  // These survive a restart of the process: a discovery agent on the proxy's machine receives the lists, and
  // what the agent has received counts as known to the proxy, also to a process that starts later.
  private final Map<String, Double> drainDeadlines = new TreeMap<>(); // end of the grace period
  private final Map<String, Double> announcedStarts = new TreeMap<>(); // the latest of each node
  private boolean up;
  private double wentDownAt = Double.NEGATIVE_INFINITY;

  Instance(World world, int number, int zone) {
    this.world = world;
    this.number = number;
    this.zone = zone;
  }

  /**
   * Starts a new process without learned state; it is up on return or some time later.
   *
   * @param remembered the list of endpoints that the process begins with, from before the run
   */
  abstract void start(List<Endpoint> remembered);

  /** Kills the process at once, with all requests that it holds. */
  abstract void kill();

  /** Handles a list or changes from discovery. */
  abstract void receiveList(ListKind kind, List<Endpoint> endpoints);

  /** Handles a request of a client. */
  abstract void receive(ClientRequest.Try clientTry);

  /** Handles that the client of a try has stopped waiting. */
  abstract void clientGone(ClientRequest.Try clientTry);

  /** The cache nodes that have answered attempts of this try with a miss. */
  abstract List<CacheNode> missedNodes(ClientRequest.Try clientTry);

  /** Handles the result of an attempt, which arrives after the network delay. */
  abstract void attemptAnswered(Attempt attempt, Result result);

  /** Handles the death of a cache node: attempts in flight to it end as connection errors. */
  abstract void nodeDied(CacheNode node);

  /**
   * Records endpoints that discovery has sent; {@code extraGrace} prolongs the grace period of a drain, in
   * ms.
   */
  final void recordList(List<Endpoint> endpoints, double extraGrace) {
    double deadline = world.clock.now() + world.scenario.rules().drainGrace() + extraGrace;
    for (Endpoint endpoint : endpoints) {
      announcedStarts.merge(endpoint.id(), endpoint.startedAt(), Math::max);
      if (endpoint.state() == EndpointState.RUNNING) {
        drainDeadlines.remove(endpoint.id());
      } else {
        drainDeadlines.putIfAbsent(endpoint.id(), deadline);
      }
    }
  }

  /** True if the proxy was notified of a node's last start, or must know of it by now. */
  final boolean knowsStart(CacheNode node) {
    return announcedStarts.getOrDefault(node.id, 0.0) >= node.startedAt
        || world.clock.now() >= node.startedAt + MAX_NOTICE_DELAY_MS;
  }

  /** Checks the rule that nothing is sent to an endpoint after the grace period of its drain. */
  final void checkDrainGrace(String endpoint) {
    double now = world.clock.now();
    Double deadline = drainDeadlines.get(endpoint);
    if (deadline != null && now > deadline) {
      world.report.recordBrokenRule(now, "sent past a drain's grace: " + endpoint);
    }
  }

  final void markUp() {
    up = true;
  }

  final void markDown() {
    up = false;
    wentDownAt = world.clock.now();
  }

  final boolean isUp() {
    return up;
  }

  /** True if the clients' load balancer still sends requests to this proxy. */
  final boolean isBelievedUp() {
    return up || world.clock.now() < wentDownAt + world.scenario.clients().failoverDelay();
  }

  /** The network delay to a node, or to the origin if {@code node} is null, in ms. */
  final double oneWayDelay(CacheNode node) {
    boolean crossesZones = node != null && node.zone != zone;
    return world.scenario.delay() + (crossesZones ? world.scenario.zoneDelay() : 0);
  }
}

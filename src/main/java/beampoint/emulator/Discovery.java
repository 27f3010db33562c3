package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Sends host lists to all proxies, each after a random delay of its own; sends nothing while it is down. */
final class Discovery {

  private static final double JITTER_FRACTION = 0.5; // of the mean delay, to both sides

  private final World world;
  private final UniformRandomProvider random;
  private boolean down;

  Discovery(World world, UniformRandomProvider random) {
    this.world = world;
    this.random = random;
  }

  /** The full list, without nodes that are gone. */
  List<Endpoint> list() {
    List<Endpoint> endpoints = new ArrayList<>();
    world.caches().stream().filter(node -> node.listed != EndpointState.GONE)
        .forEach(node -> endpoints.add(node.endpoint()));
    endpoints.add(OriginServer.endpoint());
    return endpoints;
  }

  /** Sends changed nodes to all proxies; the change is dropped if discovery is down. */
  void publish(List<CacheNode> nodes) {
    if (down) {
      return;
    }
    List<Endpoint> endpoints = nodes.stream().map(CacheNode::endpoint).toList();
    for (Instance proxy : world.proxies()) {
      world.clock.after(delay(), () -> proxy.receiveList(ListKind.CHANGES, endpoints));
    }
  }

  private double delay() {
    double meanDelay = world.scenario.discoveryDelay();
    return meanDelay * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble());
  }

  /**
   * Sends the full list to a new process without delay, as if a discovery agent on the proxy's machine had
   * stored it; does nothing while discovery is down.
   */
  void subscribe(Instance proxy) {
    if (!down) {
      proxy.receiveList(ListKind.FULL, list());
    }
  }

  boolean isDown() {
    return down;
  }

  void stop() {
    down = true;
  }

  /** Ends an outage: each proxy gets the full list after its delay. */
  void recover() {
    down = false;
    world.proxies().forEach(
        proxy -> world.clock.after(delay(), () -> proxy.receiveList(ListKind.FULL, list())));
  }
}

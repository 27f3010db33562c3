package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Tells every proxy of the cache nodes, each late by a time of its own; nothing while it is down. */
final class Discovery {

  private static final double SCATTER = 0.5; // of the usual delay, to both sides

  private final World world;
  private final UniformRandomProvider random;
  private boolean down;

  Discovery(World world, UniformRandomProvider random) {
    this.world = world;
    this.random = random;
  }

  /** The list as it is: nodes that are gone are not in it. */
  List<Endpoint> list() {
    List<Endpoint> endpoints = new ArrayList<>();
    world.caches().stream().filter(node -> node.listed != EndpointState.GONE)
        .forEach(node -> endpoints.add(node.endpoint()));
    endpoints.add(OriginServer.endpoint());
    return endpoints;
  }

  /** Nodes that have changed. */
  void changed(List<CacheNode> nodes) {
    if (down) {
      return;
    }
    List<Endpoint> endpoints = nodes.stream().map(CacheNode::endpoint).toList();
    for (Instance proxy : world.proxies()) {
      world.clock.after(delay(), () -> proxy.told(ListKind.CHANGES, endpoints));
    }
  }

  private double delay() {
    double usual = world.scenario.discoveryDelay();
    return usual * (1 - SCATTER + 2 * SCATTER * random.nextDouble());
  }

  /** A new process asks for the whole list: its machine's agent has it, and is silent while this is down. */
  void follow(Instance proxy) {
    if (!down) {
      proxy.told(ListKind.FULL, list());
    }
  }

  boolean isDown() {
    return down;
  }

  void goDown() {
    down = true;
  }

  void comeBack() {
    down = false;
    world.proxies().forEach(
        proxy -> world.clock.after(delay(), () -> proxy.told(ListKind.FULL, list())));
  }
}

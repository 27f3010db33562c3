package beampoint.emulator;

import beampoint.Balancer.EndpointState;
import beampoint.emulator.Scenario.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/** Breaks what the scenario says, when it says so; whom it hits is drawn from a stream of its own. */
final class Faults {

  private static final int BATCHES = 4; // of a roll
  private static final double LEAVES = 1000; // after the grace a node that drains is gone

  private final World world;
  private final UniformRandomProvider random;
  private int replaced;

  Faults(World world, UniformRandomProvider random) {
    this.world = world;
    this.random = random;
  }

  void plan() {
    for (Fault fault : world.scenario.faults()) {
      world.clock.at(world.start + fault.at(), () -> begin(fault));
    }
  }

  private void begin(Fault fault) {
    switch (fault.what()) {
      case CRASH -> {
        List<CacheNode> hit = draw(fault);
        hit.forEach(this::leave);
        world.discovery.changed(hit);
        world.clock.after(fault.length(), () -> {
          hit.forEach(node -> {
            node.begin();
            node.listed = EndpointState.RUNNING;
          });
          world.discovery.changed(hit);
        });
      }
      case SILENT -> forAWhile(fault, node -> node.silent = true, node -> node.silent = false);
      case SLOW -> forAWhile(fault, node -> node.slowness = fault.factor(), node -> node.slowness = 1);
      case REFUSE -> forAWhile(fault, node -> node.refuses = true, node -> node.refuses = false);
      case ERRORS -> forAWhile(fault, node -> node.errorPart = fault.factor(), node -> node.errorPart = 0);
      case ROLL -> roll(fault);
      case RESTART -> {
        List<Instance> hit = drawn(world.proxies().stream().filter(Instance::isUp).toList(), fault.part());
        hit.forEach(Instance::kill);
        world.clock.after(fault.length(), () -> hit.forEach(proxy -> {
          proxy.start(world.remembered);
          world.discovery.follow(proxy);
        }));
      }
      case ORIGIN_SLOW -> {
        world.origin.slowness = fault.factor();
        world.clock.after(fault.length(), () -> world.origin.slowness = 1);
      }
      case DISCOVERY_DOWN -> {
        world.discovery.goDown();
        world.clock.after(fault.length(), world.discovery::comeBack);
      }
      case SURGE -> {
        int tenant = world.scenario.tenants().stream().map(Scenario.Client::name).toList()
            .indexOf(fault.tenant());
        world.front.surge(tenant, fault.factor());
        world.clock.after(fault.length(), () -> world.front.surge(tenant, 1));
      }
      default -> throw new IllegalStateException("no such fault: " + fault.what());
    }
  }

  private void leave(CacheNode node) {
    node.die();
    node.listed = EndpointState.GONE;
  }

  private void forAWhile(Fault fault, Consumer<CacheNode> begin, Consumer<CacheNode> end) {
    List<CacheNode> hit = draw(fault);
    hit.forEach(begin);
    world.clock.after(fault.length(), () -> hit.forEach(end));
  }

  private void roll(Fault fault) {
    List<CacheNode> hit = draw(fault);
    for (int batch = 0; batch < BATCHES; batch++) {
      List<CacheNode> part =
          hit.subList(hit.size() * batch / BATCHES, hit.size() * (batch + 1) / BATCHES);
      if (!part.isEmpty()) {
        world.clock.after(fault.length() * batch / BATCHES, () -> replace(part));
      }
    }
  }

  private void replace(List<CacheNode> nodes) {
    List<CacheNode> changed = new ArrayList<>(nodes);
    for (CacheNode node : nodes) {
      node.listed = EndpointState.DRAINING;
      changed.add(world.add("new-" + ++replaced, node.zone, world.clock.now()));
    }
    world.discovery.changed(changed);
    double grace = world.scenario.rules().drainGrace() + 2 * world.scenario.discoveryDelay();
    world.clock.after(grace + LEAVES, () -> {
      nodes.forEach(this::leave);
      world.discovery.changed(nodes);
    });
  }

  private List<CacheNode> draw(Fault fault) {
    return drawn(world.caches().stream().filter(node -> !node.dead && node.listed == EndpointState.RUNNING)
        .filter(node -> fault.zone() < 0 || node.zone == fault.zone()).toList(), fault.part());
  }

  /** So many of these, at least one of any. */
  private <T> List<T> drawn(List<T> all, double part) {
    List<T> shuffled = new ArrayList<>(all);
    for (int i = shuffled.size() - 1; i > 0; i--) {
      Collections.swap(shuffled, i, random.nextInt(i + 1));
    }
    int count = (int) Math.min(all.size(), Math.max(1, Math.round(part * all.size())));
    return List.copyOf(shuffled.subList(0, count));
  }
}

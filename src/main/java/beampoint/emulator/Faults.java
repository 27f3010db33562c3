package beampoint.emulator;

import beampoint.Balancer.EndpointState;
import beampoint.emulator.Scenario.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Applies a scenario's faults at their times; the nodes that they affect are drawn from a separate random
 * stream.
 */
final class Faults {

  private static final int ROLL_BATCHES = 4;
  private static final double REMOVAL_DELAY_MS = 1000; // from the end of the drain grace period

  private final World world;
  private final UniformRandomProvider random;
  private int replacements;

  Faults(World world, UniformRandomProvider random) {
    this.world = world;
    this.random = random;
  }

  void schedule() {
    for (Fault fault : world.scenario.faults()) {
      world.clock.at(world.start + fault.at(), () -> begin(fault));
    }
  }

  private void begin(Fault fault) {
    switch (fault.what()) {
      case CRASH -> {
        List<CacheNode> affected = selectNodes(fault);
        affected.forEach(this::remove);
        world.discovery.publish(affected);
        world.clock.after(fault.length(), () -> {
          affected.forEach(node -> {
            node.restart();
            node.listed = EndpointState.RUNNING;
          });
          world.discovery.publish(affected);
        });
      }
      case SILENT -> applyTemporarily(fault, node -> node.silent = true, node -> node.silent = false);
      case SLOW -> applyTemporarily(fault, node -> node.slowness = fault.factor(), node -> node.slowness = 1);
      case REFUSE -> applyTemporarily(fault, node -> node.refusesConnections = true,
          node -> node.refusesConnections = false);
      case ERRORS -> applyTemporarily(fault, node -> node.errorFraction = fault.factor(),
          node -> node.errorFraction = 0);
      case ROLL -> roll(fault);
      case RESTART -> {
        List<Instance> affected =
            selectRandomly(world.proxies().stream().filter(Instance::isUp).toList(), fault.part());
        affected.forEach(Instance::kill);
        world.clock.after(fault.length(), () -> affected.forEach(proxy -> {
          proxy.start(world.remembered);
          world.discovery.subscribe(proxy);
        }));
      }
      case ORIGIN_SLOW -> {
        world.origin.slowness = fault.factor();
        world.clock.after(fault.length(), () -> world.origin.slowness = 1);
      }
      case DISCOVERY_DOWN -> {
        world.discovery.stop();
        world.clock.after(fault.length(), world.discovery::recover);
      }
      case SURGE -> {
        int tenant = world.scenario.tenants().stream().map(Scenario.TenantLoad::name).toList()
            .indexOf(fault.tenant());
        world.loadGenerator.setSurge(tenant, fault.factor());
        world.clock.after(fault.length(), () -> world.loadGenerator.setSurge(tenant, 1));
      }
      default -> throw new IllegalStateException("unknown fault: " + fault.what());
    }
  }

  private void remove(CacheNode node) {
    node.die();
    node.listed = EndpointState.GONE;
  }

  private void applyTemporarily(Fault fault, Consumer<CacheNode> begin, Consumer<CacheNode> end) {
    List<CacheNode> affected = selectNodes(fault);
    affected.forEach(begin);
    world.clock.after(fault.length(), () -> affected.forEach(end));
  }

  private void roll(Fault fault) {
    List<CacheNode> affected = selectNodes(fault);
    for (int batch = 0; batch < ROLL_BATCHES; batch++) {
      List<CacheNode> batchNodes =
          affected.subList(affected.size() * batch / ROLL_BATCHES,
              affected.size() * (batch + 1) / ROLL_BATCHES);
      if (!batchNodes.isEmpty()) {
        world.clock.after(fault.length() * batch / ROLL_BATCHES, () -> replace(batchNodes));
      }
    }
  }

  private void replace(List<CacheNode> nodes) {
    List<CacheNode> changed = new ArrayList<>(nodes);
    for (CacheNode node : nodes) {
      node.listed = EndpointState.DRAINING;
      changed.add(world.addCache("new-" + ++replacements, node.zone, world.clock.now()));
    }
    world.discovery.publish(changed);
    double grace = world.scenario.rules().drainGrace() + 2 * world.scenario.discoveryDelay();
    world.clock.after(grace + REMOVAL_DELAY_MS, () -> {
      nodes.forEach(this::remove);
      world.discovery.publish(nodes);
    });
  }

  private List<CacheNode> selectNodes(Fault fault) {
    return selectRandomly(world.caches().stream()
        .filter(node -> !node.dead && node.listed == EndpointState.RUNNING)
        .filter(node -> fault.zone() < 0 || node.zone == fault.zone()).toList(), fault.part());
  }

  /** Selects a fraction of the items at random, at least one unless there are none. */
  private <T> List<T> selectRandomly(List<T> all, double fraction) {
    List<T> shuffled = new ArrayList<>(all);
    for (int i = shuffled.size() - 1; i > 0; i--) {
      Collections.swap(shuffled, i, random.nextInt(i + 1));
    }
    int count = (int) Math.min(all.size(), Math.max(1, Math.round(fraction * all.size())));
    return List.copyOf(shuffled.subList(0, count));
  }
}

package beampoint.emulator;

import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * How the hosts see each other, by a model of membership in place of its state machine: a host that is gone
 * or cut off is held for dead after the times that were measured for 400 members, one that is back is seen
 * soon. Only those count that a host may have to do with: its site and the control machines.
 */
final class ModelledViews implements Views {

  private static final double DETECTED_AFTER = 4_000; // ms, and up to so much more:
  private static final double DETECTED_LATER = 400;
  private static final double BACK_AFTER = 100;
  private static final double BACK_LATER = 400;

  private final Clock clock;
  private final FleetLayout layout;
  private final List<ControlHost> hosts;
  private final ControlNetwork network;
  private final UniformRandomProvider random;
  private final Consumer<ControlHost> changed;
  private final SiteNeighbours neighbours;

  ModelledViews(Clock clock, FleetLayout layout, List<ControlHost> hosts, ControlNetwork network,
      UniformRandomProvider random, Consumer<ControlHost> changed) {
    this.clock = clock;
    this.layout = layout;
    this.hosts = hosts;
    this.network = network;
    this.random = random;
    this.changed = changed;
    this.neighbours = new SiteNeighbours(layout);
  }

  @Override
  public List<Integer> ofInterest(ControlHost host) {
    return neighbours.of(host.member);
  }

  @Override
  public void countFromNow() {
    // nothing is counted
  }

  @Override
  public void changed(List<Integer> numbers) {
    for (ControlHost host : hosts) {
      clock.after(BACK_AFTER + BACK_LATER * random.nextDouble(), () -> refresh(host, false));
      clock.after(DETECTED_AFTER + DETECTED_LATER * random.nextDouble(), () -> refresh(host, true));
    }
  }

  /** A new process sees at once what it can reach. */
  @Override
  public void started(ControlHost host) {
    host.dead.clear();
    refresh(host, false);
  }

  private void refresh(ControlHost host, boolean withDeaths) {
    if (!host.isUp() || host.isPaused()) {
      return;
    }
    boolean isOther = false;
    for (int number : ofInterest(host)) {
      ControlHost other = hosts.get(number);
      boolean isGone = !other.isUp() || network.partition(number) != network.partition(host.number);
      String name = layout.member(number).name();
      isOther |= isGone ? withDeaths && host.dead.add(name) : host.dead.remove(name);
    }
    if (isOther) {
      changed.accept(host);
    }
  }
}

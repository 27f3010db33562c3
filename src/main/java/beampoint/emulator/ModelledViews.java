package beampoint.emulator;

import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The hosts' views of each other by a model in place of the membership protocol: a host that is down or cut
 * off is considered dead after 4.0 to 4.4 s, the detection times of a fleet of 400 members, and one that is
 * reachable again is considered live after 100 to 500 ms. Views cover only the hosts that a host may be
 * connected to: its site and the control machines.
 */
final class ModelledViews implements Views {

  private static final double MIN_DETECTION_MS = 4_000;
  private static final double DETECTION_JITTER_MS = 400;
  private static final double MIN_RETURN_MS = 100;
  private static final double RETURN_JITTER_MS = 400;

  private final Clock clock;
  private final FleetLayout layout;
  private final List<ControlHost> hosts;
  private final ControlNetwork network;
  private final UniformRandomProvider random;
  private final Consumer<ControlHost> viewChanged;
  private final PossiblePeers possiblePeers;

  ModelledViews(Clock clock, FleetLayout layout, List<ControlHost> hosts, ControlNetwork network,
      UniformRandomProvider random, Consumer<ControlHost> viewChanged) {
    this.clock = clock;
    this.layout = layout;
    this.hosts = hosts;
    this.network = network;
    this.random = random;
    this.viewChanged = viewChanged;
    this.possiblePeers = new PossiblePeers(layout);
  }

  @Override
  public List<Integer> possiblePeers(ControlHost host) {
    return possiblePeers.of(host.member);
  }

  @Override
  public void countFromNow() {
    // the model has no counters
  }

  @Override
  public void changed(List<Integer> numbers) {
    for (ControlHost host : hosts) {
      clock.after(MIN_RETURN_MS + RETURN_JITTER_MS * random.nextDouble(), () -> refresh(host, false));
      clock.after(MIN_DETECTION_MS + DETECTION_JITTER_MS * random.nextDouble(), () -> refresh(host, true));
    }
  }

  /** A new process sees at once all hosts that it can reach. */
  @Override
  public void started(ControlHost host) {
    host.dead.clear();
    refresh(host, false);
  }

  private void refresh(ControlHost host, boolean withDeaths) {
    if (!host.isUp() || host.isPaused()) {
      return;
    }
    boolean isViewChanged = false;
    for (int number : possiblePeers(host)) {
      ControlHost other = hosts.get(number);
      boolean isUnreachable = !other.isUp() || network.partition(number) != network.partition(host.number);
      String name = layout.member(number).name();
      isViewChanged |= isUnreachable ? withDeaths && host.dead.add(name) : host.dead.remove(name);
    }
    if (isViewChanged) {
      viewChanged.accept(host);
    }
  }
}

package beampoint.emulator;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * How messages travel between the hosts of a fleet: how long by where the two stand, and which are lost,
 * repeated or overtaken. Hosts may be cut off together, and links in one direction.
 */
final class ControlNetwork {

  /** One way's time in ms between hosts of one site, of one region, and others; and up to how much more. */
  record Delays(double site, double region, double far, double jitter) {}

  private record Link(int from, int to) {}

  private final FleetLayout layout;
  private final Delays delays;
  private final UniformRandomProvider random;
  private final int[] islands; // hosts of different islands don't reach each other
  private final Set<Link> cut = new HashSet<>();
  private double lost;
  private double repeated;
  private double late; // the part of messages that take longer than usual
  private double latest;

  ControlNetwork(FleetLayout layout, Delays delays, UniformRandomProvider random) {
    this.layout = layout;
    this.delays = delays;
    this.random = random;
    this.islands = new int[layout.hosts()];
  }

  /** The parts of all messages that are lost and repeated, and that come up to so much later. */
  void setMessageFaults(double partLost, double partRepeated, double partLate, double upTo) {
    lost = partLost;
    repeated = partRepeated;
    late = partLate;
    latest = upTo;
  }

  /** Puts hosts on an island of their own; 0 is the mainland. */
  void isolate(Collection<Integer> hosts, int island) {
    hosts.forEach(host -> islands[host] = island);
  }

  int partition(int host) {
    return islands[host];
  }

  /** Cuts a link in one direction, or mends it. */
  void cut(int from, int to, boolean isCut) {
    Link link = new Link(from, to);
    if (isCut) {
      cut.add(link);
    } else {
      cut.remove(link);
    }
  }

  void mendAll() {
    cut.clear();
    Arrays.fill(islands, 0);
  }

  /** How often a message arrives: 0, 1 or 2 times. */
  int copies(int from, int to) {
    if (islands[from] != islands[to] || !cut.isEmpty() && cut.contains(new Link(from, to))) {
      return 0;
    }
    if (lost > 0 && random.nextDouble() < lost) {
      return 0;
    }
    return repeated > 0 && random.nextDouble() < repeated ? 2 : 1;
  }

  double delay(int from, int to) {
    double usual = delays.far();
    if (layout.member(from).site().equals(layout.member(to).site()) && layout.zone(from) == layout.zone(to)) {
      usual = delays.site();
    } else if (layout.region(from) == layout.region(to)) {
      usual = delays.region();
    }
    double extra = late > 0 && random.nextDouble() < late ? latest * random.nextDouble() : 0;
    return usual + delays.jitter() * random.nextDouble() + extra;
  }
}

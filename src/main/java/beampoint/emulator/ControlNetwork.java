package beampoint.emulator;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The network between the hosts of a fleet. The delay of a message depends on the locations of its sender and
 * receiver; messages may be lost, duplicated or reordered. Groups of hosts can be partitioned from the
 * others, and links can be cut in one direction.
 */
final class ControlNetwork {

  /**
   * The one-way delays in ms.
   *
   * @param site between hosts of one site in one zone
   * @param region between other hosts of one region
   * @param far between hosts of different regions
   * @param jitter the maximum random delay that is added
   */
  record Delays(double site, double region, double far, double jitter) {}

  private record Link(int from, int to) {}

  private final FleetLayout layout;
  private final Delays delays;
  private final UniformRandomProvider random;
  private final int[] partitions; // by host; hosts of different partitions don't reach each other
  private final Set<Link> cutLinks = new HashSet<>();
  private double lossRate;
  private double duplicationRate;
  private double delayedRate;
  private double maxExtraDelay;

  ControlNetwork(FleetLayout layout, Delays delays, UniformRandomProvider random) {
    this.layout = layout;
    this.delays = delays;
    this.random = random;
    this.partitions = new int[layout.hosts()];
  }

  /**
   * Sets the fractions of messages that are lost, duplicated and delayed.
   *
   * @param extraDelay the maximum additional delay of a delayed message in ms
   */
  void setMessageFaults(double loss, double duplication, double delayed, double extraDelay) {
    lossRate = loss;
    duplicationRate = duplication;
    delayedRate = delayed;
    maxExtraDelay = extraDelay;
  }

  /** Moves hosts to a partition; 0 is the main partition, in which all hosts start. */
  void isolate(Collection<Integer> hosts, int partition) {
    hosts.forEach(host -> partitions[host] = partition);
  }

  int partition(int host) {
    return partitions[host];
  }

  /** Cuts a link in one direction, or restores it. */
  void cut(int from, int to, boolean isCut) {
    Link link = new Link(from, to);
    if (isCut) {
      cutLinks.add(link);
    } else {
      cutLinks.remove(link);
    }
  }

  /** Restores all links and removes all partitions. */
  void healAll() {
    cutLinks.clear();
    Arrays.fill(partitions, 0);
  }

  /** Draws how often a message arrives: 0, 1 or 2 times. */
  int copies(int from, int to) {
    if (partitions[from] != partitions[to] || !cutLinks.isEmpty() && cutLinks.contains(new Link(from, to))) {
      return 0;
    }
    if (lossRate > 0 && random.nextDouble() < lossRate) {
      return 0;
    }
    return duplicationRate > 0 && random.nextDouble() < duplicationRate ? 2 : 1;
  }

  /** Draws the one-way delay of a message in ms. */
  double delay(int from, int to) {
    double base = delays.far();
    if (layout.member(from).site().equals(layout.member(to).site()) && layout.zone(from) == layout.zone(to)) {
      base = delays.site();
    } else if (layout.region(from) == layout.region(to)) {
      base = delays.region();
    }
    double extra =
        delayedRate > 0 && random.nextDouble() < delayedRate ? maxExtraDelay * random.nextDouble() : 0;
    return base + delays.jitter() * random.nextDouble() + extra;
  }
}

package beampoint.fleet.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns parents as a pure function of the live members, so that members with the same view agree. The
 * leader of the control machines is the root and the other control machines are its children. In each site,
 * one proxy in {@code fanOut + 1} is a relay, which subscribes to a control machine of its region; the other
 * proxies subscribe to a relay of their site, at most {@code fanOut} to each. Only children use this
 * function, to choose the parent to which they subscribe. A parent does not check by it who subscribes, so it
 * does no harm if members temporarily differ about which members are live.
 */
public final class DistributionTree {

  private static final int MAX_PARENTS = 6; // candidates of one member

  private final int fanOut;

  /**
   * Creates a tree.
   *
   * @param fanOut the maximum number of proxies to which a proxy passes changes on; 0 for none
   */
  public DistributionTree(int fanOut) {
    if (fanOut < 0) {
      throw new IllegalArgumentException("negative fan-out: " + fanOut);
    }
    this.fanOut = fanOut;
  }

  /**
   * Returns the members to which a member may subscribe, in order of preference. For a control machine, this
   * is the leader, or an empty list if the machine is the leader itself or the leader is not known. For a
   * proxy, these are its relay, if it has one, and then the control machines, starting with those of its
   * region.
   *
   * @param live the live members, with or without the member itself
   * @param leader the name of the leading control machine; empty if it is not known
   */
  public List<Parent> parents(TreeMember self, Collection<TreeMember> live, String leader) {
    if (self.isControl()) {
      return leader.isEmpty() || leader.equals(self.name()) ? List.of()
          : List.of(new Parent(leader, true));
    }
    List<Parent> parents = new ArrayList<>();
    String relay = relayByProxy(self, live).get(self.name());
    if (relay != null) {
      parents.add(new Parent(relay, false));
    }
    parents.addAll(controlMachines(self, live, true));
    parents.addAll(controlMachines(self, live, false));
    return List.copyOf(parents.subList(0, Math.min(parents.size(), MAX_PARENTS)));
  }

  private static List<Parent> controlMachines(TreeMember self, Collection<TreeMember> live,
      boolean ofOwnRegion) {
    return RendezvousHash.ranked(self.name(), live.stream()
        .filter(p -> p.isControl() && p.region().equals(self.region()) == ofOwnRegion).map(TreeMember::name)
        .toList()).stream().map(name -> new Parent(name, true)).toList();
  }

  /** Returns the relays of the proxies of a member's site, by the names of those that are not relays. */
  private Map<String, String> relayByProxy(TreeMember self, Collection<TreeMember> live) {
    List<String> names = new ArrayList<>(live.stream()
        .filter(p -> !p.isControl() && p.site().equals(self.site()) && !p.name().equals(self.name()))
        .map(TreeMember::name).toList());
    names.add(self.name());
    List<String> ranked = RendezvousHash.ranked(self.site(), names);
    int relayCount = (ranked.size() + fanOut) / (fanOut + 1);
    Map<String, Integer> children = new HashMap<>();
    Map<String, String> parents = new HashMap<>();
    for (String child : ranked.subList(relayCount, ranked.size())) {
      String relay = RendezvousHash.ranked(child, ranked.subList(0, relayCount)).stream()
          .filter(r -> children.getOrDefault(r, 0) < fanOut).findFirst().orElseThrow();
      children.merge(relay, 1, Integer::sum);
      parents.put(child, relay);
    }
    return parents;
  }
}

package beampoint.fleet.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who is whose parent: a pure function of the living members, so that all who share a view agree. The leader
 * of the control machines is the root and the other control machines are its children; in each site one
 * proxy in {@code fanOut + 1} is a relay, which subscribes to a control machine of its region; the other
 * proxies subscribe to a relay of their site, to each relay {@code fanOut} at the most. Nobody pushes by this
 * function: a child chooses its parent and subscribes, so views that differ for a while do no harm.
 */
public final class DistributionTree {

  private static final int MAX_PARENTS = 6; // that a member may try in turn

  private final int fanOut;

  /**
   * A tree of a fan-out.
   *
   * @param fanOut how many proxies a proxy passes changes on to at the most; 0 for none
   */
  public DistributionTree(int fanOut) {
    if (fanOut < 0) {
      throw new IllegalArgumentException("no fan-out: " + fanOut);
    }
    this.fanOut = fanOut;
  }

  /**
   * Whom a member may subscribe to, the best first. A control machine has the leader alone, and none where it
   * leads itself or where there is no leader. For a proxy these are its relay, if it has one, and then the
   * control machines: those of its region first.
   *
   * @param living who lives, the member itself among them or not
   * @param leader the control machine that leads; empty where that is not known
   */
  public List<Parent> parents(TreeMember self, Collection<TreeMember> living, String leader) {
    if (self.isControl()) {
      return leader.isEmpty() || leader.equals(self.name()) ? List.of()
          : List.of(new Parent(leader, true));
    }
    List<Parent> parents = new ArrayList<>();
    String relay = relays(self, living).get(self.name());
    if (relay != null) {
      parents.add(new Parent(relay, false));
    }
    parents.addAll(controls(self, living, true));
    parents.addAll(controls(self, living, false));
    return List.copyOf(parents.subList(0, Math.min(parents.size(), MAX_PARENTS)));
  }

  private static List<Parent> controls(TreeMember self, Collection<TreeMember> living, boolean ofOwnRegion) {
    return Rendezvous.ranked(self.name(), living.stream()
        .filter(p -> p.isControl() && p.region().equals(self.region()) == ofOwnRegion).map(TreeMember::name)
        .toList()).stream().map(name -> new Parent(name, true)).toList();
  }

  /** The relay of each proxy of a site that is no relay itself. */
  private Map<String, String> relays(TreeMember self, Collection<TreeMember> living) {
    List<String> names = new ArrayList<>(living.stream()
        .filter(p -> !p.isControl() && p.site().equals(self.site()) && !p.name().equals(self.name()))
        .map(TreeMember::name).toList());
    names.add(self.name());
    List<String> ranked = Rendezvous.ranked(self.site(), names);
    int relays = (ranked.size() + fanOut) / (fanOut + 1);
    Map<String, Integer> children = new HashMap<>();
    Map<String, String> parents = new HashMap<>();
    for (String child : ranked.subList(relays, ranked.size())) {
      String relay = Rendezvous.ranked(child, ranked.subList(0, relays)).stream()
          .filter(r -> children.getOrDefault(r, 0) < fanOut).findFirst().orElseThrow();
      children.merge(relay, 1, Integer::sum);
      parents.put(child, relay);
    }
    return parents;
  }
}

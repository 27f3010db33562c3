package beampoint.fleet.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Members with the same view agree on the tree, and no proxy has more children than the fan-out. */
class DistributionTreeTest {

  private static List<TreeMember> fleet(int proxies, int sites) {
    List<TreeMember> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      all.add(TreeMember.control("c" + i, "r" + i % 2));
    }
    for (int i = 0; i < proxies; i++) {
      all.add(TreeMember.proxy("p" + i, "r" + i % sites % 2, "s" + i % sites));
    }
    return all;
  }

  @Property(tries = 200, seed = "5")
  void everyProxyHasAPathToAControlMachineWithinTheFanOut(@ForAll @IntRange(min = 1, max = 60) int proxies,
      @ForAll @IntRange(min = 1, max = 4) int sites, @ForAll @IntRange(min = 0, max = 4) int fanOut,
      @ForAll long seed) {
    List<TreeMember> all = fleet(proxies, sites);
    List<TreeMember> shuffled = new ArrayList<>(all);
    Collections.shuffle(shuffled, new Random(seed));
    DistributionTree tree = new DistributionTree(fanOut);
    Map<String, Integer> children = new HashMap<>();
    Map<String, String> chosen = new HashMap<>();
    for (TreeMember member : all) {
      List<Parent> parents = tree.parents(member, all, "c0");
      assertEquals(parents, tree.parents(member, shuffled, "c0"), "the order of a view makes a difference");
      if (!member.isControl()) {
        chosen.put(member.name(), parents.get(0).name());
        children.merge(parents.get(0).name(), 1, Integer::sum);
        assertEquals(4, parents.stream().filter(Parent::isControl).count());
      }
    }
    chosen.forEach((child, parent) -> {
      boolean isRelay = parent.startsWith("c");
      assertTrue(isRelay || chosen.get(parent).startsWith("c"),
          child + " is more than two steps from a control machine");
      assertTrue(isRelay || children.get(parent) <= fanOut, parent + " has " + children.get(parent));
    });
  }

  @Test
  void aProxyPrefersTheControlMachinesOfItsRegion() {
    List<TreeMember> all = fleet(1, 1);
    List<Parent> parents = new DistributionTree(2).parents(all.get(4), all, "c1");
    assertEquals(Set.of("c0", "c2"), Set.of(parents.get(0).name(), parents.get(1).name()));
  }

  @Test
  void controlMachinesSubscribeOnlyToTheirLeader() {
    List<TreeMember> all = fleet(3, 1);
    DistributionTree tree = new DistributionTree(2);
    assertEquals(List.of(), tree.parents(all.get(0), all, "c0"));
    assertEquals(List.of(new Parent("c0", true)), tree.parents(all.get(1), all, "c0"));
    assertEquals(List.of(), tree.parents(all.get(1), all, ""));
  }
}

package beampoint.emulator;

import beampoint.fleet.distribution.TreeMember;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The hosts that each host may be connected to in the distribution tree. */
final class SiteNeighbours {

  private final Map<String, List<Integer>> ofSite = new HashMap<>();

  SiteNeighbours(FleetLayout layout) {
    List<Integer> controls = new ArrayList<>();
    for (int i = 0; i < layout.hosts(); i++) {
      if (i < layout.controls()) {
        controls.add(i);
      } else {
        ofSite.computeIfAbsent(layout.member(i).site(), site -> new ArrayList<>(controls)).add(i);
      }
    }
    ofSite.put("", controls);
  }

  /** The control machines and the hosts of this member's site. */
  List<Integer> of(TreeMember member) {
    return ofSite.get(member.site());
  }
}

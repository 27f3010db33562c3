package beampoint.emulator;

import beampoint.fleet.distribution.TreeMember;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The hosts that each host may be connected to in the distribution tree. */
final class PossiblePeers {

  private final Map<String, List<Integer>> ofSite = new HashMap<>();

  PossiblePeers(FleetLayout layout) {
    List<Integer> controlMachines = new ArrayList<>();
    for (int i = 0; i < layout.hosts(); i++) {
      if (i < layout.controlMachines()) {
        controlMachines.add(i);
      } else {
        ofSite.computeIfAbsent(layout.member(i).site(), site -> new ArrayList<>(controlMachines)).add(i);
      }
    }
    ofSite.put("", controlMachines);
  }

  /** The control machines and the hosts of this member's site. */
  List<Integer> of(TreeMember member) {
    return ofSite.get(member.site());
  }
}

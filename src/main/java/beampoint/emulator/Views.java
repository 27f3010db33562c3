package beampoint.emulator;

import java.util.List;

/** How the hosts of a fleet come to see each other; what a host sees stands in its set of dead ones. */
interface Views {

  /** The hosts that a host may have to do with: its site, itself among them, and the control machines. */
  List<Integer> ofInterest(ControlHost host);

  /** A host has started. */
  void started(ControlHost host);

  /** Something was done to these hosts: they were killed, started, cut off or healed. */
  void changed(List<Integer> numbers);

  /** Counts anew from now on. */
  void countFromNow();
}

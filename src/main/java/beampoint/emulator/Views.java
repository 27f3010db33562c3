package beampoint.emulator;

import java.util.List;

/** Maintains the hosts' views of each other: the set of hosts that each host considers dead. */
interface Views {

  /**
   * The hosts that a host may be connected to: those of its site, including itself, and the control machines.
   */
  List<Integer> possiblePeers(ControlHost host);

  /** Is called when a host has started. */
  void started(ControlHost host);

  /** Is called when these hosts were killed, started, cut off or reconnected. */
  void changed(List<Integer> numbers);

  /** Resets the counters. */
  void countFromNow();
}

package beampoint.emulator;

import beampoint.emulator.ControlScenario.Fault;
import beampoint.emulator.ControlScenario.What;
import java.util.List;

/** Schedules the faults of a control scenario on a fleet. */
final class FaultPlan {

  private FaultPlan() {}

  /** Schedules the beginning and the end of a fault: a zone's hosts are killed, or a region is cut off. */
  static void plan(ControlFleet fleet, Fault fault) {
    boolean isZone = fault.what() == What.ZONE_LOST;
    List<Integer> hosts = isZone ? fleet.layout().ofZone(fault.place())
        : fleet.layout().ofRegion(fault.place());
    fleet.at(fault.at(), () -> {
      if (isZone) {
        hosts.forEach(fleet::kill);
      } else {
        fleet.isolate(hosts, 1 + fault.place());
      }
      fleet.detectChanges(hosts);
    });
    fleet.at(fault.at() + fault.length(), () -> {
      if (isZone) {
        hosts.forEach(fleet::start);
      } else {
        fleet.isolate(hosts, 0);
      }
      fleet.detectChanges(hosts);
    });
  }
}

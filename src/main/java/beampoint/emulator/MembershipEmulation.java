package beampoint.emulator;

import beampoint.emulator.ControlScenario.Network;
import beampoint.emulator.ControlScenario.Size;
import beampoint.fleet.distribution.DistributionSettings;

/** Runs a control scenario with the membership protocol itself, in a fleet of fewer members. */
final class MembershipEmulation {

  private static final double MS_PER_SECOND = 1_000;

  private MembershipEmulation() {}

  /** Runs the scenario and adds the figures of the membership protocol to the report. */
  static void run(ControlScenario scenario, ControlReport report) {
    Size size = scenario.size();
    Network network = scenario.network();
    int members = scenario.membership().members();
    ControlFleet fleet = new ControlFleet(
        new FleetLayout(members, Math.min(size.sites(), members), size.zones(), size.regions(),
            size.controlMachines()),
        DistributionSettings.defaults(), scenario.fanOut(),
        new ControlNetwork.Delays(network.site(), network.region(), network.far(), network.jitter()), true,
        scenario.seed());
    fleet.network().setMessageFaults(network.loss(), network.duplicated(), 0, 0);
    fleet.at(scenario.warmUp(), fleet::countFromNow);
    scenario.faults().forEach(fault -> FaultPlan.plan(fleet, fault));
    fleet.runTo(scenario.length());
    MembershipViews views = (MembershipViews) fleet.views();
    double hostSeconds = (scenario.length() - scenario.warmUp()) / MS_PER_SECOND * fleet.layout().hosts();
    report.figure("members.played", fleet.layout().hosts());
    report.mustBeZero("members.wrongly_dead", views.wronglyDead());
    report.figure("members.detect_p99_ms", views.detectP99());
    report.figure("members.bytes_s_mean", views.bytes() / hostSeconds);
    report.figure("members.exchange_bytes_s_mean", views.exchangedBytes() / hostSeconds);
  }
}

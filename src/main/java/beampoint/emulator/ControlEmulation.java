package beampoint.emulator;

import beampoint.emulator.ControlScenario.Limits;
import beampoint.emulator.ControlScenario.Network;
import beampoint.emulator.ControlScenario.Size;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.changes.PurgeChange;
import beampoint.fleet.changes.PurgeScope;
import beampoint.fleet.distribution.DistributionSettings;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates the control plane of a fleet in virtual time. The same seed gives the same figures, except for
 * two that are measured in the emulator's own process: the processor time and the heap of the whole model,
 * divided by the number of proxies.
 */
public final class ControlEmulation {

  private static final long WALL_CLOCK_START_MS = 1_764_000_000_000L;
  private static final double FIRST_CHANGE_MS = 3_000;
  private static final double BYTES_PER_MIB = 1 << 20;
  private static final double PREFIX_FRACTION = 0.05; // of all purges
  private static final double TENANT_FRACTION = 0.02; // of all purges

  private final ControlScenario scenario;
  private final ControlFleet fleet;
  private final UniformRandomProvider random;
  private long purges;
  private long configurations;

  private ControlEmulation(ControlScenario scenario) {
    this.scenario = scenario;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(scenario.seed() + 2);
    Size size = scenario.size();
    Network network = scenario.network();
    this.fleet = new ControlFleet(
        new FleetLayout(size.proxies(), size.sites(), size.zones(), size.regions(), size.controlMachines()),
        DistributionSettings.defaults(), scenario.fanOut(),
        new ControlNetwork.Delays(network.site(), network.region(), network.far(), network.jitter()),
        false, scenario.seed());
    fleet.network().setMessageFaults(network.loss(), network.duplicated(), 0, 0);
  }

  /** Runs a scenario and returns its figures. */
  public static ControlReport run(ControlScenario scenario) {
    return new ControlEmulation(scenario).run();
  }

  private ControlReport run() {
    double heapBefore = usedHeapBytes();
    double cpuBefore = threadCpuMs();
    fleet.at(FIRST_CHANGE_MS, this::submitPurge);
    fleet.at(FIRST_CHANGE_MS, this::submitConfiguration);
    fleet.at(scenario.warmUp(), fleet::countFromNow);
    scenario.faults().forEach(fault -> FaultPlan.plan(fleet, fault));
    fleet.runTo(scenario.length());
    double cpu = threadCpuMs() - cpuBefore;
    double proxyMs = scenario.size().proxies() * scenario.length();
    return report(cpu / proxyMs, (usedHeapBytes() - heapBefore) / BYTES_PER_MIB / scenario.size().proxies());
  }

  private static double usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static double threadCpuMs() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e6;
  }

  // ---- Changes --------------------------------------------------------------------------------------------

  /** Returns a random time in ms to the next event of a Poisson process. */
  private double nextInterval(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
  }

  private void submitPurge() {
    double kind = random.nextDouble();
    PurgeScope scope = kind < TENANT_FRACTION ? PurgeScope.TENANT
        : kind < TENANT_FRACTION + PREFIX_FRACTION ? PurgeScope.PREFIX : PurgeScope.KEY;
    String value = switch (scope) {
      case KEY -> String.format("%016x", random.nextLong());
      case PREFIX -> "org/example/module-" + random.nextInt(1_000) + "/";
      default -> "tenant-" + random.nextInt(500);
    };
    fleet.submit(new PurgeChange(1, scope, value, WALL_CLOCK_START_MS + (long) fleet.now()));
    purges++;
    fleet.at(fleet.now() + nextInterval(scenario.changes().purges()), this::submitPurge);
  }

  private void submitConfiguration() {
    double rate = scenario.changes().configurations();
    if (rate > 0) {
      fleet.submit(new ConfigurationChange(1, configurationDocument()));
      configurations++;
      fleet.at(fleet.now() + nextInterval(rate), this::submitConfiguration);
    }
  }

  /** Returns a JSON document with random settings, of about the configured length. */
  private String configurationDocument() {
    StringBuilder document = new StringBuilder("{\"edition\": " + configurations);
    while (document.length() < scenario.changes().documentBytes() - 1) {
      document.append(", \"setting_").append(document.length()).append("\": ").append(random.nextInt(1_000));
    }
    return document.append('}').toString();
  }

  // ---- Report ---------------------------------------------------------------------------------------------

  private ControlReport report(double cpuFraction, double heapMb) {
    Limits limits = scenario.limits();
    ControlReport report = new ControlReport();
    report.figure("fleet.proxies", scenario.size().proxies());
    report.figure("fleet.sites", scenario.size().sites());
    report.figure("fleet.control_machines", scenario.size().controlMachines());
    report.figure("control.cpu_part", cpuFraction, limits.cpuFraction());
    report.figure("control.heap_mb", heapMb, limits.heapMb());
    reportTraffic(report, limits);
    ChangeChecks checks = fleet.checks();
    ProgressChecks progress = fleet.progressChecks();
    report.figure("changes.purges", purges);
    report.figure("changes.configurations", configurations);
    report.figure("changes.commit_max_ms", fleet.log().maxCommitDelayMs());
    report.figure("changes.purge_max_ms", checks.maxPurgeDelayMs(), limits.purgeMs());
    report.figure("changes.config_max_ms", checks.maxConfigurationDelayMs(), limits.configurationMs());
    report.figure("changes.healed_max_ms", checks.maxDelayAfterReconnectMs());
    report.figure("changes.known_max_ms", progress.knownMax());
    report.figure("changes.snapshots", checks.snapshots());
    report.mustBeZero("changes.lost", lostEntries());
    report.mustBeZero("changes.twice", checks.duplicateApplications());
    report.mustBeZero("changes.out_of_order", checks.outOfOrder());
    report.mustBeZero("changes.foreign", checks.uncommittedApplied());
    report.mustBeZero("changes.false_done", progress.falseDone());
    report.mustBeZero("changes.fenced_fresh", progress.fencedFresh());
    if (scenario.membership().members() > 0) {
      MembershipEmulation.run(scenario, report);
    }
    return report;
  }

  private void reportTraffic(ControlReport report, Limits limits) {
    double now = fleet.now();
    int controlCount = scenario.size().controlMachines();
    List<ControlHost> proxies = fleet.hosts().subList(controlCount, fleet.hosts().size());
    List<ControlHost> controlMachines = fleet.hosts().subList(0, controlCount);
    double membershipBytes = scenario.membership().bytesPerSecond();
    report.figure("control.bytes_s_membership_taken", membershipBytes);
    report.figure("control.bytes_s_distribution_mean",
        proxies.stream().mapToDouble(h -> h.traffic.meanBytesPerSecond(now)).average().orElse(0));
    report.figure("control.bytes_s_mean",
        membershipBytes
            + proxies.stream().mapToDouble(h -> h.traffic.meanBytesPerSecond(now)).average().orElse(0),
        limits.bytesPerSecond());
    report.figure("control.bytes_s_highest_mean",
        membershipBytes
            + proxies.stream().mapToDouble(h -> h.traffic.meanBytesPerSecond(now)).max().orElse(0),
        limits.bytesPerSecond());
    report.figure("control.bytes_s_worst",
        membershipBytes + proxies.stream().mapToDouble(h -> h.traffic.maxBytesPerSecond()).max().orElse(0));
    report.figure("control.machine_bytes_s_mean",
        controlMachines.stream().mapToDouble(h -> h.traffic.meanBytesPerSecond(now)).average().orElse(0));
    report.figure("control.machine_bytes_s_worst",
        controlMachines.stream().mapToDouble(h -> h.traffic.maxBytesPerSecond()).max().orElse(0));
  }

  /** The number of entries that hosts lack at the end although they have been reachable for long enough. */
  private long lostEntries() {
    double now = fleet.now();
    long lost = 0;
    for (ControlHost host : fleet.hosts()) {
      if (host.isUp() && host.record.reachableSince() <= now - scenario.limits().configurationMs()) {
        lost += Math.max(0, fleet.checks().lastUpTo(now - scenario.limits().purgeMs()) - host.record.last());
      }
    }
    return lost;
  }
}

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
 * Plays a day of a fleet's control in virtual time. The same seed gives the same figures, but for the two
 * that are measured of this process: processor time and heap, of the whole model divided among the proxies.
 */
public final class ControlEmulation {

  private static final long TIME_OF_DAY = 1_764_000_000_000L;
  private static final double FIRST_CHANGE = 3_000; // ms
  private static final double MEGABYTE = 1 << 20;
  private static final double PREFIXES = 0.05; // of all purges
  private static final double TENANTS = 0.02;

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
        new FleetLayout(size.proxies(), size.sites(), size.zones(), size.regions(), size.controls()),
        DistributionSettings.defaults(), scenario.fanOut(),
        new ControlNetwork.Delays(network.site(), network.region(), network.far(), network.jitter()),
        false, scenario.seed());
    fleet.network().setMessageFaults(network.loss(), network.repeats(), 0, 0);
  }

  /** Plays a day. */
  public static ControlReport run(ControlScenario scenario) {
    return new ControlEmulation(scenario).play();
  }

  private ControlReport play() {
    double heapBefore = usedHeap();
    double cpuBefore = processorTime();
    fleet.at(FIRST_CHANGE, this::purge);
    fleet.at(FIRST_CHANGE, this::configure);
    fleet.at(scenario.warmUp(), fleet::countFromNow);
    scenario.faults().forEach(fault -> FaultPlan.plan(fleet, fault));
    fleet.runTo(scenario.length());
    double cpu = processorTime() - cpuBefore;
    double proxySeconds = scenario.size().proxies() * scenario.length();
    return report(cpu / proxySeconds, (usedHeap() - heapBefore) / MEGABYTE / scenario.size().proxies());
  }

  private static double usedHeap() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Of this thread, in ms. */
  private static double processorTime() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e6;
  }

  // ---- What happens ---------------------------------------------------------------------------------------

  private double gap(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
  }

  private void purge() {
    double kind = random.nextDouble();
    PurgeScope scope = kind < TENANTS ? PurgeScope.TENANT
        : kind < TENANTS + PREFIXES ? PurgeScope.PREFIX : PurgeScope.KEY;
    String value = switch (scope) {
      case KEY -> String.format("%016x", random.nextLong());
      case PREFIX -> "org/example/module-" + random.nextInt(1_000) + "/";
      default -> "tenant-" + random.nextInt(500);
    };
    fleet.submit(new PurgeChange(1, scope, value, TIME_OF_DAY + (long) fleet.now()));
    purges++;
    fleet.at(fleet.now() + gap(scenario.changes().purges()), this::purge);
  }

  private void configure() {
    double rate = scenario.changes().configurations();
    if (rate > 0) {
      fleet.submit(new ConfigurationChange(1, document()));
      configurations++;
      fleet.at(fleet.now() + gap(rate), this::configure);
    }
  }

  /** A document of settings: names and numbers, as many as its length takes. */
  private String document() {
    StringBuilder document = new StringBuilder("{\"edition\": " + configurations);
    while (document.length() < scenario.changes().documentBytes() - 1) {
      document.append(", \"setting_").append(document.length()).append("\": ").append(random.nextInt(1_000));
    }
    return document.append('}').toString();
  }

  // ---- What was counted -----------------------------------------------------------------------------------

  private ControlReport report(double cpuPart, double heapMb) {
    Limits limits = scenario.limits();
    ControlReport report = new ControlReport();
    report.figure("fleet.proxies", scenario.size().proxies());
    report.figure("fleet.sites", scenario.size().sites());
    report.figure("fleet.control_machines", scenario.size().controls());
    report.figure("control.cpu_part", cpuPart, limits.cpuPart());
    report.figure("control.heap_mb", heapMb, limits.heapMb());
    reportBytes(report, limits);
    ChangeChecks checks = fleet.checks();
    ProgressChecks progress = fleet.progressChecks();
    report.figure("changes.purges", purges);
    report.figure("changes.configurations", configurations);
    report.figure("changes.commit_max_ms", fleet.log().commitMax());
    report.figure("changes.purge_max_ms", checks.purgeMax(), limits.purge());
    report.figure("changes.config_max_ms", checks.configurationMax(), limits.configuration());
    report.figure("changes.healed_max_ms", checks.healedMax());
    report.figure("changes.known_max_ms", progress.knownMax());
    report.figure("changes.snapshots", checks.snapshots());
    report.never("changes.lost", lost());
    report.never("changes.twice", checks.twice());
    report.never("changes.out_of_order", checks.outOfOrder());
    report.never("changes.foreign", checks.foreign());
    report.never("changes.false_done", progress.falseDone());
    report.never("changes.fenced_fresh", progress.fencedFresh());
    if (scenario.membership().members() > 0) {
      MemberDay.play(scenario, report);
    }
    return report;
  }

  private void reportBytes(ControlReport report, Limits limits) {
    double now = fleet.now();
    int controls = scenario.size().controls();
    List<ControlHost> proxies = fleet.hosts().subList(controls, fleet.hosts().size());
    List<ControlHost> machines = fleet.hosts().subList(0, controls);
    double members = scenario.membership().bytes();
    report.figure("control.bytes_s_membership_taken", members);
    report.figure("control.bytes_s_distribution_mean",
        proxies.stream().mapToDouble(h -> h.traffic.meanOfSecond(now)).average().orElse(0));
    report.figure("control.bytes_s_mean",
        members + proxies.stream().mapToDouble(h -> h.traffic.meanOfSecond(now)).average().orElse(0),
        limits.bytes());
    report.figure("control.bytes_s_highest_mean",
        members + proxies.stream().mapToDouble(h -> h.traffic.meanOfSecond(now)).max().orElse(0),
        limits.bytes());
    report.figure("control.bytes_s_worst",
        members + proxies.stream().mapToDouble(h -> h.traffic.worstSecond()).max().orElse(0));
    report.figure("control.machine_bytes_s_mean",
        machines.stream().mapToDouble(h -> h.traffic.meanOfSecond(now)).average().orElse(0));
    report.figure("control.machine_bytes_s_worst",
        machines.stream().mapToDouble(h -> h.traffic.worstSecond()).max().orElse(0));
  }

  /** Entries that a proxy lacks at the end though it can be reached and had the time. */
  private long lost() {
    double now = fleet.now();
    long lost = 0;
    for (ControlHost host : fleet.hosts()) {
      if (host.isUp() && host.record.reachableSince() <= now - scenario.limits().configuration()) {
        lost += Math.max(0, fleet.checks().lastUpTo(now - scenario.limits().purge()) - host.record.last());
      }
    }
    return lost;
  }
}

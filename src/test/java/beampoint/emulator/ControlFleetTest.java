package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.PurgeChange;
import beampoint.fleet.changes.PurgeScope;
import beampoint.fleet.distribution.DistributionSettings;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A small fleet under faults: each proxy applies every change once and in order, and none is falsely reported
 * done.
 */
class ControlFleetTest {

  private static final long FIRST_SEED = Long.getLong("control.first", 1); // set for longer searches
  private static final int SEEDS = Integer.getInteger("control.seeds", 8);
  /** When faults begin, in ms: a change log whose founding is interrupted may need an operator. */
  private static final int FAULTS_START_MS = Integer.getInteger("control.founding", 5_000);

  private static ControlFleet fleet(long seed) {
    return new ControlFleet(new FleetLayout(40, 6, 3, 2, 5), settingsWithShortTails(), 2,
        new ControlNetwork.Delays(0.3, 5, 40, 10), false, seed);
  }

  /** A control machine keeps 19 s of changes, so that a host that was away for longer needs a snapshot. */
  private static DistributionSettings settingsWithShortTails() {
    DistributionSettings defaults = DistributionSettings.defaults();
    return new DistributionSettings(defaults.minBatchInterval(), defaults.heartbeatInterval(),
        defaults.reportInterval(), defaults.parentTimeout(), defaults.sourceTimeout(),
        defaults.parentRetryDelay(), defaults.childTimeout(), defaults.fetchTimeout(),
        defaults.freshnessLease(),
        defaults.drift(), defaults.burst(), defaults.window(), defaults.batchBytes(), 64,
        defaults.tailBytes(), defaults.maxOutOfOrderEntries(), defaults.maxChildren(),
        defaults.snapshotInterval());
  }

  private static void purge(ControlFleet fleet, int index) {
    fleet.submit(new PurgeChange(1, PurgeScope.KEY, String.format("%016x", index * 0x9e3779b97f4a7c15L),
        1_764_000_000_000L + index));
  }

  private static void submitChanges(ControlFleet fleet, double seconds, int perSecond) {
    double end = fleet.now() + 1_000 * seconds;
    int index = 0;
    while (fleet.now() < end) {
      purge(fleet, index++);
      fleet.runTo(Math.min(end, fleet.now() + 1_000.0 / perSecond));
    }
  }

  private static void assertNoRuleBroken(ControlFleet fleet) {
    ChangeChecks checks = fleet.checks();
    assertEquals(0, checks.duplicateApplications(), "twice");
    assertEquals(0, checks.outOfOrder(), "out of order");
    assertEquals(0, checks.uncommittedApplied(), "foreign");
    assertEquals(0, fleet.progressChecks().falseDone(), "false done");
    assertEquals(0, fleet.progressChecks().fencedFresh(), "fenced and fresh");
  }

  private static void assertAllReached(ControlFleet fleet) {
    long last = fleet.checks().log().size();
    for (ControlHost host : fleet.hosts()) {
      assertEquals(last, host.isUp() ? host.node.appliedUpTo() : last, host.member.name());
    }
  }

  @Test
  void withoutFaultsAllChangesArriveSoonAndTheLeaderTracksThem() {
    ControlFleet fleet = fleet(1);
    fleet.runTo(5_000);
    fleet.countFromNow();
    submitChanges(fleet, 20, 27);
    fleet.runTo(fleet.now() + 3_000);
    assertNoRuleBroken(fleet);
    assertAllReached(fleet);
    assertTrue(fleet.checks().maxPurgeDelayMs() < 1_200, "longest: " + fleet.checks().maxPurgeDelayMs());
    long last = fleet.checks().log().size();
    assertEquals(last, fleet.node(fleet.leader()).tracker().doneEverywhereUpTo());
    assertTrue(fleet.node(fleet.leader()).tracker().completion(last, fleet.now()).isDoneEverywhere());
    for (ControlHost host : fleet.hosts().subList(5, 45)) {
      assertTrue(host.node.isFresh(host.localTime(fleet.now())), host.member.name());
      assertEquals(0, host.node.lapses());
      double bytes = host.traffic.meanBytesPerSecond(fleet.now());
      assertTrue(bytes < 1_000 + 1_000 * host.node.children().size(), host.member.name() + ": " + bytes);
    }
  }

  /**
   * Injects a random fault: message loss, duplicates, delays, a crash, a pause, a cut, or a fault of the
   * leader.
   */
  private static void injectFault(ControlFleet fleet, Random random) {
    int host = random.nextInt(fleet.layout().hosts());
    int proxy = fleet.layout().controlMachines() + random.nextInt(40);
    switch (random.nextInt(7)) {
      case 0 -> restart(fleet, proxy, 500 + 8_000 * random.nextDouble());
      case 1 -> pauseFor(fleet, proxy, 500 + 4_000 * random.nextDouble());
      case 2 -> isolate(fleet, fleet.layout().ofRegion(1), 1_000 + 25_000 * random.nextDouble());
      case 3 -> isolate(fleet, List.of(proxy), 1_000 + 25_000 * random.nextDouble());
      case 4 -> cutOneWay(fleet, host, random.nextInt(fleet.layout().hosts()), 5_000 * random.nextDouble());
      case 5 -> injectFault(fleet, fleet.leader(), random);
      default -> fleet.network().setMessageFaults(0.05 * random.nextDouble(), 0.05 * random.nextDouble(),
          0.1 * random.nextDouble(), 3_000);
    }
    fleet.detectChanges(List.of());
  }

  /** Pauses or restarts the leader, so that another is elected. */
  private static void injectFault(ControlFleet fleet, int leader, Random random) {
    if (leader >= 0 && random.nextBoolean()) {
      pauseFor(fleet, leader, 500 + 3_000 * random.nextDouble());
    } else if (leader >= 0 && allControlsRun(fleet)) {
      restart(fleet, leader, 500 + 2_000 * random.nextDouble());
    }
  }

  private static boolean allControlsRun(ControlFleet fleet) {
    return fleet.hosts().subList(0, fleet.layout().controlMachines()).stream()
        .allMatch(h -> h.isUp() && h.controlNode.state().log().voter());
  }

  private static void restart(ControlFleet fleet, int proxy, double downFor) {
    if (fleet.node(proxy) != null) {
      fleet.kill(proxy);
      fleet.at(fleet.now() + downFor, () -> {
        fleet.start(proxy);
        fleet.detectChanges(List.of());
      });
    }
  }

  private static void pauseFor(ControlFleet fleet, int proxy, double time) {
    fleet.pause(proxy);
    fleet.at(fleet.now() + time, () -> fleet.resume(proxy));
  }

  private static void isolate(ControlFleet fleet, List<Integer> hosts, double time) {
    fleet.isolate(hosts, hosts.size() == 1 ? 100 + hosts.get(0) : 1);
    fleet.at(fleet.now() + time, () -> {
      fleet.isolate(hosts, 0);
      fleet.detectChanges(List.of());
    });
  }

  private static void cutOneWay(ControlFleet fleet, int from, int to, double time) {
    fleet.network().cut(from, to, true);
    fleet.at(fleet.now() + time, () -> fleet.network().cut(from, to, false));
  }

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void underAnyTroublesNothingIsLostTwiceOrWronglyDone(long seed) {
    Random random = new Random(seed);
    ControlFleet fleet = fleet(seed);
    fleet.runTo(FAULTS_START_MS);
    for (int i = 0; i < 40; i++) {
      injectFault(fleet, random);
      submitChanges(fleet, 3 * random.nextDouble(), 27);
      assertNoRuleBroken(fleet);
    }
    fleet.runTo(fleet.now() + 30_000); // until all faults have ended
    fleet.healNetwork();
    fleet.detectChanges(List.of());
    fleet.runTo(fleet.now() + 20_000);
    assertNoRuleBroken(fleet);
    assertAllReached(fleet);
    assertEquals(0, fleet.log().pending(), "not committed");
    long last = fleet.checks().log().size();
    assertTrue(fleet.node(fleet.leader()).tracker().completion(last, fleet.now()).isDoneEverywhere());
    assertTrue(fleet.checks().snapshots() > 0, "no host needed a snapshot");
    assertTrue(fleet.progressChecks().fencedSeen() > 0, "no host was fenced");
  }
}

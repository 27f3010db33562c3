package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.facts.Epoch;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Long runs of 3, 5 and 13 control machines in virtual time, with message loss, partitions, pauses and
 * crashes.
 */
class LogSimulationTest {

  private static final LogLimits SMALL = new LogLimits(32, 20_000, 64, 40_000, 40, 100, 40_000, 10);
  private static final double SECOND_MS = 1_000;
  private static final double WARM_UP_MS = 5 * SECOND_MS;
  private static final double MAX_RECOVERY_MS = 8 * SimulatedCluster.LEASE_MS;
  private static final int SEEDS = Integer.getInteger("log.seeds", 1); // more for longer runs

  private static PurgeChange purge(long number) {
    return new PurgeChange(1, PurgeScope.KEY, "org/example/artifact-" + number + ".jar", number);
  }

  /** Submits changes at a constant rate up to a time. */
  private static void submit(SimulatedCluster cluster, double perSecond, double until) {
    long number = 0;
    while (cluster.now < until) {
      cluster.runTo(cluster.now + SECOND_MS / perSecond);
      boolean isConfiguration = number % 50 == 7;
      cluster.submit(
          isConfiguration ? new ConfigurationChange(1, "{\"version\":" + number + "}") : purge(number));
      number++;
    }
  }

  private static double percentile(List<Double> values, double fraction) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size()));
  }

  private static void print(String what, SimulatedCluster cluster) {
    System.out.printf("%s, %d voters: %d committed, p50 %.0f ms, p99 %.0f ms, max %.0f ms, %d elections,"
        + " %d messages, %.1f KB/s from each, %.0f s%n", what, cluster.names.size(),
        cluster.committedLog.size(), percentile(cluster.latencies, 0.5), percentile(cluster.latencies, 0.99),
        percentile(cluster.latencies, 1), cluster.elections, cluster.messages,
        cluster.bytes / cluster.now / cluster.names.size(), cluster.now / SECOND_MS);
  }

  @ParameterizedTest
  @CsvSource({"3, 1", "5, 2", "13, 3"})
  void withoutFaultsAllChangesAreCommittedSoon(int voters, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(voters, LogLimits.DEFAULTS, seed);
    cluster.runTo(WARM_UP_MS);
    submit(cluster, 27, WARM_UP_MS + 30 * SECOND_MS);
    cluster.runTo(cluster.now + 2 * SECOND_MS);
    print("calm", cluster);
    assertEquals(0, cluster.pendingCount());
    assertEquals(1, cluster.elections);
    assertEquals(cluster.committedLog.size(), cluster.minDelivered());
    assertTrue(percentile(cluster.latencies, 1) < 2 * SECOND_MS);
  }

  @ParameterizedTest
  @CsvSource({"3, 41", "5, 42", "13, 43"})
  void commitsContinueWithFivePercentOfMessagesLost(int voters, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(voters, LogLimits.DEFAULTS, seed);
    cluster.runTo(WARM_UP_MS);
    cluster.lossRate = 0.05;
    cluster.duplicationRate = 0.05;
    submit(cluster, 27, WARM_UP_MS + 60 * SECOND_MS);
    cluster.heal();
    cluster.runTo(cluster.now + 2 * SECOND_MS);
    print("a twentieth lost", cluster);
    assertEquals(0, cluster.pendingCount());
    assertEquals(cluster.committedLog.size(), cluster.minDelivered());
    assertTrue(percentile(cluster.latencies, 0.99) < 3 * SECOND_MS);
  }

  /** Injects one fault; at most a minority of the machines is without memory, which the log tolerates. */
  private static void injectFault(SimulatedCluster cluster, Random random) {
    int minority = (cluster.names.size() - 1) / 2;
    String one = cluster.names.get(random.nextInt(cluster.names.size()));
    String other = cluster.names.get(random.nextInt(cluster.names.size()));
    long down = cluster.names.stream().filter(n -> !cluster.isUp(n)).count();
    switch (random.nextInt(7)) {
      case 0 -> cluster.pause(one, random.nextDouble() * 3 * SECOND_MS);
      case 1 -> {
        if (!one.equals(other)) {
          cluster.partition(one, other);
        }
      }
      case 2 -> cluster.names.stream().filter(n -> !n.equals(one)).forEach(n -> cluster.partition(one, n));
      case 3 -> {
        if (down < minority) {
          cluster.stop(one);
        }
      }
      case 4 -> {
        boolean losesMemory = cluster.nonVoters() + (cluster.state(one).log().voter() ? 1 : 0) <= minority;
        cluster.restart(one, losesMemory && random.nextBoolean());
      }
      case 5 -> {
        cluster.lossRate = random.nextDouble() * 0.2;
        cluster.duplicationRate = random.nextDouble() * 0.2;
      }
      default -> cluster.heal();
    }
  }

  @ParameterizedTest
  @CsvSource({"3, 11", "3, 12", "3, 13", "5, 21", "5, 22", "5, 23", "13, 31", "13, 32"})
  void noChangeIsLostThroughFaultsAndCommitsContinueAfterThem(int voters, long seed) {
    for (int i = 0; i < SEEDS; i++) {
      runThroughFaults(voters, seed + 100L * i);
    }
  }

  private static void runThroughFaults(int voters, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(voters, SMALL, seed);
    Random random = new Random(seed);
    cluster.runTo(WARM_UP_MS);
    for (int i = 0; i < 120; i++) {
      injectFault(cluster, random);
      submit(cluster, 10, cluster.now + 1.5 * SECOND_MS);
    }
    cluster.heal();
    double healedAt = cluster.now;
    long before = cluster.committedLog.size();
    cluster.submit(purge(-1));
    while (cluster.committedLog.size() == before && cluster.now < healedAt + MAX_RECOVERY_MS) {
      cluster.runTo(cluster.now + 20);
    }
    double waited = cluster.now - healedAt;
    assertTrue(waited < MAX_RECOVERY_MS, "the first commit after the faults, seed " + seed);
    System.out.printf("goes on after %.0f ms; ", waited);
    submit(cluster, 10, cluster.now + 10 * SECOND_MS);
    cluster.runTo(cluster.now + 5 * SECOND_MS);
    print("faults, seed " + seed, cluster);
    assertTrue(cluster.committedLog.size() >= before + 100, "commits go on after the faults, seed " + seed);
    assertEquals(0, cluster.pendingCount(), "all is committed or refused for good, seed " + seed);
    assertEquals(0, cluster.nonVoters(), "all vote again, seed " + seed);
    assertEquals(cluster.committedLog.size(), cluster.minDelivered(), "all hold all entries, seed " + seed);
  }

  @Test
  void aStoppedLeaderIsReplacedWithinThreeLeases() {
    SimulatedCluster cluster = new SimulatedCluster(13, LogLimits.DEFAULTS, 7);
    cluster.runTo(WARM_UP_MS);
    for (int i = 0; i < 10; i++) {
      String leader = cluster.leader();
      cluster.stop(leader);
      double stopped = cluster.now;
      while (cluster.leader() == null) {
        cluster.runTo(cluster.now + 10);
        assertTrue(cluster.now < stopped + 3 * SimulatedCluster.LEASE_MS, "no leader yet");
      }
      System.out.printf("a new leader after %.0f ms%n", cluster.now - stopped);
      cluster.restart(leader, i % 2 == 0);
      cluster.runTo(cluster.now + 3 * SECOND_MS);
      assertEquals(0, cluster.nonVoters());
    }
  }

  @Test
  void changesRejectedByAFullQueueAreCommittedWhenRetried() {
    LogLimits shortQueue = new LogLimits(32, 20_000, 64, 40_000, 500, 500, 100_000, 10);
    SimulatedCluster cluster = new SimulatedCluster(3, shortQueue, 5);
    cluster.runTo(WARM_UP_MS);
    for (int i = 0; i < 400; i++) {
      cluster.submit(purge(i));
    }
    cluster.runTo(cluster.now + 30 * SECOND_MS);
    assertTrue(cluster.refusals.get(SubmitOutcome.Reason.QUEUE_FULL) > 0);
    assertEquals(0, cluster.pendingCount());
    assertEquals(400, cluster.committedLog.size());
  }

  @Test
  void aReplicaThatMissedMoreThanTheKeptEntriesGetsTheSnapshot() {
    SimulatedCluster cluster = new SimulatedCluster(5, SMALL, 6);
    cluster.runTo(WARM_UP_MS);
    String stopped = cluster.names.stream().filter(n -> !n.equals(cluster.leader())).findFirst()
        .orElseThrow();
    cluster.stop(stopped);
    submit(cluster, 30, cluster.now + 20 * SECOND_MS);
    assertTrue(cluster.state(cluster.leader()).log().snapshot().index() > 400);
    assertEquals(100, cluster.state(cluster.leader()).log().snapshot().entries().stream()
        .filter(e -> e.change() instanceof PurgeChange).count());
    cluster.restart(stopped, true);
    cluster.runTo(cluster.now + 5 * SECOND_MS);
    assertEquals(cluster.committedLog.size(), cluster.minDelivered());
    assertEquals(0, cluster.nonVoters());
    assertTrue(cluster.state(stopped).log().snapshot().completeFrom() > 0);
  }

  @Test
  void afterTheLossOfAMajorityTheLogStopsUntilAnOperatorAllowsANewOne() {
    SimulatedCluster cluster = new SimulatedCluster(5, SMALL, 8);
    cluster.runTo(WARM_UP_MS);
    submit(cluster, 10, cluster.now + 2 * SECOND_MS);
    cluster.runTo(cluster.now + SECOND_MS);
    Epoch foundingEpoch = cluster.logIdentity;
    long committed = cluster.committedLog.size();
    cluster.names.subList(0, 3).forEach(n -> cluster.restart(n, true));
    cluster.submit(purge(1_000));
    cluster.runTo(cluster.now + 20 * SECOND_MS);
    assertEquals(committed, cluster.committedLog.size(), "nothing is committed without a majority of voters");
    assertNull(cluster.leader());
    assertTrue(cluster.problems.contains(Problem.MAJORITY_LOST));
    assertTrue(cluster.names.stream().allMatch(n -> cluster.problem(n).isPresent()),
        "the problem is reported to operators");
    cluster.allowNewLog(cluster.names.get(4));
    cluster.runTo(cluster.now + 30 * SECOND_MS);
    assertNotEquals(foundingEpoch, cluster.logIdentity);
    assertEquals(committed + 1, cluster.committedLog.size(), "the new log begins with what its founder held");
    assertEquals(0, cluster.nonVoters());
  }

  @Test
  void replicasThatAllLostTheirMemoryFoundANewLog() {
    SimulatedCluster cluster = new SimulatedCluster(3, SMALL, 9);
    cluster.runTo(WARM_UP_MS);
    submit(cluster, 10, cluster.now + 2 * SECOND_MS);
    Epoch foundingEpoch = cluster.logIdentity;
    assertFalse(cluster.committedLog.isEmpty());
    cluster.runTo(cluster.now + SECOND_MS);
    cluster.names.forEach(n -> cluster.restart(n, true));
    cluster.clearCommittedLog();
    cluster.runTo(cluster.now + WARM_UP_MS);
    submit(cluster, 10, cluster.now + 2 * SECOND_MS);
    cluster.runTo(cluster.now + SECOND_MS);
    assertNotEquals(foundingEpoch, cluster.state("c00").log().foundingEpoch());
    assertEquals(cluster.committedLog.size(), cluster.minDelivered());
    assertEquals(0, cluster.pendingCount());
  }
}

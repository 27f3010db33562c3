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

/** Long runs of 3, 5 and 13 control machines in virtual time, through loss, cuts, pauses and crashes. */
class LogSimulationTest {

  private static final LogLimits SMALL = new LogLimits(32, 20_000, 64, 40_000, 40, 100, 40_000, 10);
  private static final double SECOND = 1_000;
  private static final double START = 5 * SECOND;
  private static final double MAX_WAIT = 8 * SimulatedCluster.LEASE;
  private static final int SEEDS = Integer.getInteger("log.seeds", 1); // more for a longer trial

  private static PurgeChange purge(long number) {
    return new PurgeChange(1, PurgeScope.KEY, "org/example/artifact-" + number + ".jar", number);
  }

  /** Submits evenly up to a time. */
  private static void submit(SimulatedCluster cluster, double perSecond, double until) {
    long number = 0;
    while (cluster.now < until) {
      cluster.runTo(cluster.now + SECOND / perSecond);
      boolean settings = number % 50 == 7;
      cluster.submit(settings ? new ConfigurationChange(1, "{\"version\":" + number + "}") : purge(number));
      number++;
    }
  }

  private static double percentile(List<Double> values, double part) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size()));
  }

  private static void print(String what, SimulatedCluster cluster) {
    System.out.printf("%s, %d voters: %d committed, p50 %.0f ms, p99 %.0f ms, max %.0f ms, %d elections,"
        + " %d messages, %.1f KB/s from each, %.0f s%n", what, cluster.names.size(),
        cluster.ledger.size(), percentile(cluster.latencies, 0.5), percentile(cluster.latencies, 0.99),
        percentile(cluster.latencies, 1), cluster.elections, cluster.messages,
        cluster.bytes / cluster.now / cluster.names.size(), cluster.now / SECOND);
  }

  @ParameterizedTest
  @CsvSource({"3, 1", "5, 2", "13, 3"})
  void onACalmNetworkAllIsCommittedSoon(int voters, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(voters, LogLimits.DEFAULTS, seed);
    cluster.runTo(START);
    submit(cluster, 27, START + 30 * SECOND);
    cluster.runTo(cluster.now + 2 * SECOND);
    print("calm", cluster);
    assertEquals(0, cluster.open());
    assertEquals(1, cluster.elections);
    assertEquals(cluster.ledger.size(), cluster.slowest());
    assertTrue(percentile(cluster.latencies, 1) < 2 * SECOND);
  }

  @ParameterizedTest
  @CsvSource({"3, 41", "5, 42", "13, 43"})
  void withATwentiethOfAllMessagesLostCommitsGoOn(int voters, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(voters, LogLimits.DEFAULTS, seed);
    cluster.runTo(START);
    cluster.loss = 0.05;
    cluster.repeats = 0.05;
    submit(cluster, 27, START + 60 * SECOND);
    cluster.heal();
    cluster.runTo(cluster.now + 2 * SECOND);
    print("a twentieth lost", cluster);
    assertEquals(0, cluster.open());
    assertEquals(cluster.ledger.size(), cluster.slowest());
    assertTrue(percentile(cluster.latencies, 0.99) < 3 * SECOND);
  }

  /** One fault at a time and at most a minority without memory, as the log's limits say. */
  private static void disturb(SimulatedCluster cluster, Random random) {
    int minority = (cluster.names.size() - 1) / 2;
    String one = cluster.names.get(random.nextInt(cluster.names.size()));
    String other = cluster.names.get(random.nextInt(cluster.names.size()));
    long down = cluster.names.stream().filter(n -> !cluster.isUp(n)).count();
    switch (random.nextInt(7)) {
      case 0 -> cluster.pause(one, random.nextDouble() * 3 * SECOND);
      case 1 -> {
        if (!one.equals(other)) {
          cluster.cut(one, other);
        }
      }
      case 2 -> cluster.names.stream().filter(n -> !n.equals(one)).forEach(n -> cluster.cut(one, n));
      case 3 -> {
        if (down < minority) {
          cluster.stop(one);
        }
      }
      case 4 -> {
        boolean forgets = cluster.learners() + (cluster.state(one).log().voter() ? 1 : 0) <= minority;
        cluster.restart(one, forgets && random.nextBoolean());
      }
      case 5 -> {
        cluster.loss = random.nextDouble() * 0.2;
        cluster.repeats = random.nextDouble() * 0.2;
      }
      default -> cluster.heal();
    }
  }

  @ParameterizedTest
  @CsvSource({"3, 11", "3, 12", "3, 13", "5, 21", "5, 22", "5, 23", "13, 31", "13, 32"})
  void throughFaultsNothingIsLostAndAfterThemItGoesOn(int voters, long seed) {
    for (int i = 0; i < SEEDS; i++) {
      runThroughFaults(voters, seed + 100L * i);
    }
  }

  private static void runThroughFaults(int voters, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(voters, SMALL, seed);
    Random random = new Random(seed);
    cluster.runTo(START);
    for (int i = 0; i < 120; i++) {
      disturb(cluster, random);
      submit(cluster, 10, cluster.now + 1.5 * SECOND);
    }
    cluster.heal();
    double healed = cluster.now;
    long before = cluster.ledger.size();
    cluster.submit(purge(-1));
    while (cluster.ledger.size() == before && cluster.now < healed + MAX_WAIT) {
      cluster.runTo(cluster.now + 20);
    }
    double waited = cluster.now - healed;
    assertTrue(waited < MAX_WAIT, "the first commit after the faults, seed " + seed);
    System.out.printf("goes on after %.0f ms; ", waited);
    submit(cluster, 10, cluster.now + 10 * SECOND);
    cluster.runTo(cluster.now + 5 * SECOND);
    print("faults, seed " + seed, cluster);
    assertTrue(cluster.ledger.size() >= before + 100, "commits go on after the faults, seed " + seed);
    assertEquals(0, cluster.open(), "all is committed or refused for good, seed " + seed);
    assertEquals(0, cluster.learners(), "all vote again, seed " + seed);
    assertEquals(cluster.ledger.size(), cluster.slowest(), "all hold all, seed " + seed);
  }

  @Test
  void aLeaderThatStopsIsFollowedByAnotherWithinThreeLeases() {
    SimulatedCluster cluster = new SimulatedCluster(13, LogLimits.DEFAULTS, 7);
    cluster.runTo(START);
    for (int i = 0; i < 10; i++) {
      String leader = cluster.leader();
      cluster.stop(leader);
      double stopped = cluster.now;
      while (cluster.leader() == null) {
        cluster.runTo(cluster.now + 10);
        assertTrue(cluster.now < stopped + 3 * SimulatedCluster.LEASE, "no leader yet");
      }
      System.out.printf("a new leader after %.0f ms%n", cluster.now - stopped);
      cluster.restart(leader, i % 2 == 0);
      cluster.runTo(cluster.now + 3 * SECOND);
      assertEquals(0, cluster.learners());
    }
  }

  @Test
  void aFullQueueIsRefusedAndLeavesTheRestInOrder() {
    LogLimits shortQueue = new LogLimits(32, 20_000, 64, 40_000, 500, 500, 100_000, 10);
    SimulatedCluster cluster = new SimulatedCluster(3, shortQueue, 5);
    cluster.runTo(START);
    for (int i = 0; i < 400; i++) {
      cluster.submit(purge(i));
    }
    cluster.runTo(cluster.now + 30 * SECOND);
    assertTrue(cluster.refusals.get(SubmitOutcome.Reason.QUEUE_FULL) > 0);
    assertEquals(0, cluster.open());
    assertEquals(400, cluster.ledger.size());
  }

  @Test
  void whoWasAwayForLongerThanEntriesAreKeptGetsTheSnapshot() {
    SimulatedCluster cluster = new SimulatedCluster(5, SMALL, 6);
    cluster.runTo(START);
    String away = cluster.names.stream().filter(n -> !n.equals(cluster.leader())).findFirst().orElseThrow();
    cluster.stop(away);
    submit(cluster, 30, cluster.now + 20 * SECOND);
    assertTrue(cluster.state(cluster.leader()).log().snapshot().index() > 400);
    assertEquals(100, cluster.state(cluster.leader()).log().snapshot().entries().stream()
        .filter(e -> e.change() instanceof PurgeChange).count());
    cluster.restart(away, true);
    cluster.runTo(cluster.now + 5 * SECOND);
    assertEquals(cluster.ledger.size(), cluster.slowest());
    assertEquals(0, cluster.learners());
    assertTrue(cluster.state(away).log().snapshot().completeFrom() > 0);
  }

  @Test
  void aLostMajorityStopsTheLogUntilAnOperatorFoundsAnother() {
    SimulatedCluster cluster = new SimulatedCluster(5, SMALL, 8);
    cluster.runTo(START);
    submit(cluster, 10, cluster.now + 2 * SECOND);
    cluster.runTo(cluster.now + SECOND);
    Epoch identity = cluster.logIdentity;
    long committed = cluster.ledger.size();
    cluster.names.subList(0, 3).forEach(n -> cluster.restart(n, true));
    cluster.submit(purge(1_000));
    cluster.runTo(cluster.now + 20 * SECOND);
    assertEquals(committed, cluster.ledger.size(), "nothing is committed without a majority that remembers");
    assertNull(cluster.leader());
    assertTrue(cluster.problems.contains(Problem.MAJORITY_LOST));
    assertTrue(cluster.names.stream().allMatch(n -> cluster.problem(n).isPresent()), "operators are told");
    cluster.foundAnew(cluster.names.get(4));
    cluster.runTo(cluster.now + 30 * SECOND);
    assertNotEquals(identity, cluster.logIdentity);
    assertEquals(committed + 1, cluster.ledger.size(), "the new log begins with what its founder held");
    assertEquals(0, cluster.learners());
  }

  @Test
  void allStartedAnewBeginALogOfAnotherIdentity() {
    SimulatedCluster cluster = new SimulatedCluster(3, SMALL, 9);
    cluster.runTo(START);
    submit(cluster, 10, cluster.now + 2 * SECOND);
    Epoch identity = cluster.logIdentity;
    assertFalse(cluster.ledger.isEmpty());
    cluster.runTo(cluster.now + SECOND);
    cluster.names.forEach(n -> cluster.restart(n, true));
    cluster.forgetLedger();
    cluster.runTo(cluster.now + START);
    submit(cluster, 10, cluster.now + 2 * SECOND);
    cluster.runTo(cluster.now + SECOND);
    assertNotEquals(identity, cluster.state("c00").log().identity());
    assertEquals(cluster.ledger.size(), cluster.slowest());
    assertEquals(0, cluster.open());
  }
}

package beampoint.emulator;

import beampoint.emulator.MemberFleet.Death;
import beampoint.fleet.membership.MembershipSettings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Measures detection and traffic of the membership protocol, for docs/fleet/membership.md:
 * {@code mvn test -Dtest=MemberStudy -DargLine="-Dstudy.runs=1000"}. It takes minutes and is not run by the
 * build.
 */
class MemberStudy {

  private static final int RUNS = Integer.getInteger("study.runs", 100);
  private static final MembershipSettings DEFAULTS = MembershipSettings.defaults();

  private static String quantiles(List<Double> values) {
    Collections.sort(values);
    return String.format("p50 %.0f p99 %.0f most %.0f of %d", values.get(values.size() / 2),
        values.get((int) Math.ceil(values.size() * 0.99) - 1), values.get(values.size() - 1), values.size());
  }

  /** Measures the time from a crash until the last member has detected it. */
  @Test
  void crashes() {
    for (int members : new int[] {3, 14, 100, 400}) {
      for (MembershipSettings settings : List.of(DEFAULTS, DEFAULTS.withoutSuspicion())) {
        List<Double> all = new ArrayList<>(IntStream.range(0, Math.min(RUNS, 40_000 / members)).parallel()
            .mapToObj(seed -> {
              MemberFleet fleet = new MemberFleet(members, settings, seed);
              fleet.setLossEverywhere(0.01);
              fleet.runTo(5_000 + 37.0 * seed);
              double at = fleet.now();
              fleet.kill(seed % members);
              fleet.runTo(at + 20_000);
              long detections =
                  fleet.deaths().stream().filter(d -> d.member() == seed % members).map(Death::observer)
                      .distinct().count();
              return detections < members - 1 ? 99_999.0 : fleet.deaths().stream()
                  .filter(d -> d.member() == seed % members).mapToDouble(Death::at).max().orElse(0) - at;
            }).toList());
        System.out.println("crash " + members + (settings == DEFAULTS ? " usual " : " plain ")
            + quantiles(all));
      }
    }
  }

  /** Runs a fleet for ten minutes under 5% loss with bursts, pauses of up to 3 s and one-way cuts at once. */
  private static MemberFleet runWithFaults(int members, MembershipSettings settings, long seed) {
    MemberFleet fleet = new MemberFleet(members, settings, seed);
    Random random = new Random(seed);
    fleet.setLossEverywhere(0.05);
    fleet.runTo(5_000);
    for (int i = 0; i < 60; i++) {
      double at = fleet.now();
      int one = random.nextInt(members);
      int other = (one + 1 + random.nextInt(members - 1)) % members;
      int paused = random.nextInt(members);
      fleet.setLoss(one, other, 1);
      fleet.pause(paused);
      if (i % 6 == 0) {
        fleet.setLossEverywhere(0.3); // a burst
        fleet.runTo(at + 500);
        fleet.setLossEverywhere(0.05);
        fleet.setLoss(one, other, 1);
      }
      fleet.runTo(at + 500 + random.nextInt(2_500));
      fleet.resume(paused);
      fleet.runTo(at + 10_000);
      fleet.setLoss(one, other, 0.05);
    }
    return fleet;
  }

  @Test
  void falsePositives() {
    for (int members : new int[] {3, 14}) {
      for (MembershipSettings settings : List.of(DEFAULTS, DEFAULTS.withoutSuspicion())) {
        int runs = settings == DEFAULTS ? RUNS : Math.min(RUNS, 20);
        long falsePositives = IntStream.range(0, runs).parallel()
            .mapToLong(
                seed -> runWithFaults(members, settings, seed).deaths().stream().filter(Death::wasAlive)
                    .count())
            .sum();
        System.out.println("false positives " + members + (settings == DEFAULTS ? " usual " : " plain ")
            + falsePositives + " in " + runs + " runs");
      }
    }
  }

  @Test
  void heals() {
    for (int members : new int[] {3, 14, 100, 400}) {
      List<Double> all = new ArrayList<>(IntStream.range(0, Math.min(RUNS, 8_000 / members)).parallel()
          .mapToObj(seed -> {
            MemberFleet fleet = new MemberFleet(members, DEFAULTS, seed);
            for (int i = 0; i < members / 3; i++) {
              for (int j = members / 3; j < members; j++) {
                fleet.setLoss(i, j, 1);
                fleet.setLoss(j, i, 1);
              }
            }
            fleet.runTo(65_000);
            fleet.setLossEverywhere(0.01);
            for (double time = 100; time <= 20_000; time += 100) {
              fleet.runTo(65_000 + time);
              if (fleet.viewsAgree() && fleet.membership(0).liveCount() == members) {
                return time;
              }
            }
            return 99_999.0;
          }).toList());
      System.out.println("heal " + members + " " + quantiles(all));
    }
  }

  /**
   * Plain heartbeats for comparison: each member sends a heartbeat to all others twice a second, and one
   * whose heartbeats are missing for 4 s is declared dead.
   */
  private static final class HeartbeatFleet {
    final Clock clock = new Clock(0);
    final Random random;
    final double[][] heardAt;
    final double[][] losses;
    final boolean[] paused;
    final boolean[][] dead;
    long messages;
    int wrong;
    double lastDeathAt;

    HeartbeatFleet(int members, long seed) {
      random = new Random(seed);
      heardAt = new double[members][members];
      losses = new double[members][members];
      paused = new boolean[members];
      dead = new boolean[members][members];
      for (int i = 0; i < members; i++) {
        int self = i;
        clock.after(500 * random.nextDouble(), () -> sendHeartbeats(self));
      }
    }

    private void sendHeartbeats(int self) {
      for (int to = 0; !paused[self] && to < heardAt.length; to++) {
        messages += to == self ? 0 : 1;
        boolean lost = random.nextDouble() < losses[self][to];
        int other = to;
        clock.after(2 * random.nextDouble(), () -> {
          // A paused member also records heartbeats: it reads the queued ones before it checks for deaths.
          heardAt[other][self] = lost ? heardAt[other][self] : clock.now();
          dead[other][self] &= lost;
        });
        if (!dead[self][to] && to != self && clock.now() - heardAt[self][to] > 4_000) {
          dead[self][to] = true;
          wrong++;
          lastDeathAt = clock.now();
        }
      }
      clock.after(500, () -> sendHeartbeats(self));
    }
  }

  @Test
  void heartbeats() {
    for (int members : new int[] {3, 14, 100, 400}) {
      HeartbeatFleet fleet = new HeartbeatFleet(members, 1);
      fleet.clock.runTo(20_000);
      System.out.printf("heartbeats %d: %.0f messages a member a second", members,
          fleet.messages / 20.0 / members);
      fleet.paused[0] = true; // does not resume
      fleet.clock.runTo(30_000);
      System.out.printf(", a crash known to all after %.0f ms%n", fleet.lastDeathAt - 20_000);
    }
    for (int members : new int[] {3, 14}) {
      long wrong = 0;
      for (int seed = 0; seed < 20; seed++) {
        HeartbeatFleet fleet = new HeartbeatFleet(members, seed);
        for (double[] row : fleet.losses) {
          Arrays.fill(row, 0.05);
        }
        for (int i = 0; i < 60; i++) {
          int one = fleet.random.nextInt(members);
          int other = (one + 1 + fleet.random.nextInt(members - 1)) % members;
          int paused = fleet.random.nextInt(members);
          fleet.losses[one][other] = 1;
          fleet.paused[paused] = true;
          fleet.clock.runTo(10_000.0 * i + 500 + fleet.random.nextInt(2_500));
          fleet.paused[paused] = false;
          fleet.clock.runTo(10_000.0 * (i + 1));
          fleet.losses[one][other] = 0.05;
        }
        wrong += fleet.wrong;
      }
      System.out.println("false positives " + members + " heartbeats " + wrong + " in 20 runs");
    }
  }

  @Test
  void traffic() {
    for (int members : new int[] {3, 14, 100, 400}) {
      MemberFleet fleet = new MemberFleet(members, DEFAULTS, 1);
      fleet.setLossEverywhere(0.01);
      fleet.runTo(60_000);
      long messages = fleet.messages();
      long bytes = fleet.bytes();
      long begin = System.nanoTime();
      fleet.runTo(120_000);
      System.out.printf("traffic %d: %.1f messages, %.0f bytes a member a second, %.1f us of work%n", members,
          (fleet.messages() - messages) / 60.0 / members, (fleet.bytes() - bytes) / 60.0 / members,
          (System.nanoTime() - begin) / 60e3 / members);
    }
  }
}

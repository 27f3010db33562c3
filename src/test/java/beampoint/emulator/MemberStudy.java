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
 * The figures of docs/fleet/membership.md: mvn test -Dtest=MemberStudy -DargLine="-Dstudy.runs=1000". It
 * takes minutes, and is no part of the build's tests.
 */
class MemberStudy {

  private static final int RUNS = Integer.getInteger("study.runs", 100);
  private static final MembershipSettings USUAL = MembershipSettings.defaults();

  private static String quantiles(List<Double> values) {
    Collections.sort(values);
    return String.format("p50 %.0f p99 %.0f most %.0f of %d", values.get(values.size() / 2),
        values.get((int) Math.ceil(values.size() * 0.99) - 1), values.get(values.size() - 1), values.size());
  }

  /** From a crash until the last member knows it. */
  @Test
  void crashes() {
    for (int members : new int[] {3, 14, 100, 400}) {
      for (MembershipSettings terms : List.of(USUAL, USUAL.withoutSuspicion())) {
        List<Double> all = new ArrayList<>(IntStream.range(0, Math.min(RUNS, 40_000 / members)).parallel()
            .mapToObj(seed -> {
              MemberFleet fleet = new MemberFleet(members, terms, seed);
              fleet.setLossEverywhere(0.01);
              fleet.runTo(5_000 + 37.0 * seed);
              double at = fleet.now();
              fleet.kill(seed % members);
              fleet.runTo(at + 20_000);
              long knowing = fleet.deaths().stream().filter(d -> d.member() == seed % members)
                  .map(Death::observer).distinct().count();
              return knowing < members - 1 ? 99_999.0 : fleet.deaths().stream()
                  .filter(d -> d.member() == seed % members).mapToDouble(Death::at).max().orElse(0) - at;
            }).toList());
        System.out.println("crash " + members + (terms == USUAL ? " usual " : " plain ") + quantiles(all));
      }
    }
  }

  /** Ten minutes of 5% loss with bursts, pauses of up to 3 s and one-sided cuts, all at once. */
  private static MemberFleet troubles(int members, MembershipSettings terms, long seed) {
    MemberFleet fleet = new MemberFleet(members, terms, seed);
    Random random = new Random(seed);
    fleet.setLossEverywhere(0.05);
    fleet.runTo(5_000);
    for (int i = 0; i < 60; i++) {
      double at = fleet.now();
      int one = random.nextInt(members);
      int other = (one + 1 + random.nextInt(members - 1)) % members;
      int still = random.nextInt(members);
      fleet.setLoss(one, other, 1);
      fleet.pause(still);
      if (i % 6 == 0) {
        fleet.setLossEverywhere(0.3); // a burst
        fleet.runTo(at + 500);
        fleet.setLossEverywhere(0.05);
        fleet.setLoss(one, other, 1);
      }
      fleet.runTo(at + 500 + random.nextInt(2_500));
      fleet.resume(still);
      fleet.runTo(at + 10_000);
      fleet.setLoss(one, other, 0.05);
    }
    return fleet;
  }

  @Test
  void falsePositives() {
    for (int members : new int[] {3, 14}) {
      for (MembershipSettings terms : List.of(USUAL, USUAL.withoutSuspicion())) {
        int runs = terms == USUAL ? RUNS : Math.min(RUNS, 20);
        long falsePositives = IntStream.range(0, runs).parallel()
            .mapToLong(seed -> troubles(members, terms, seed).deaths().stream().filter(Death::wasAlive)
                .count())
            .sum();
        System.out.println("false positives " + members + (terms == USUAL ? " usual " : " plain ")
            + falsePositives + " in " + runs + " runs");
      }
    }
  }

  @Test
  void heals() {
    for (int members : new int[] {3, 14, 100, 400}) {
      List<Double> all = new ArrayList<>(IntStream.range(0, Math.min(RUNS, 8_000 / members)).parallel()
          .mapToObj(seed -> {
            MemberFleet fleet = new MemberFleet(members, USUAL, seed);
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

  /** The plain way: each tells all others twice a second that it lives; who is not heard for 4 s is dead. */
  private static final class Heartbeats {
    final Clock clock = new Clock(0);
    final Random random;
    final double[][] heardAt;
    final double[][] losses;
    final boolean[] still;
    final boolean[][] dead;
    long messages;
    int wrong;
    double lastDeathAt;

    Heartbeats(int members, long seed) {
      random = new Random(seed);
      heardAt = new double[members][members];
      losses = new double[members][members];
      still = new boolean[members];
      dead = new boolean[members][members];
      for (int i = 0; i < members; i++) {
        int self = i;
        clock.after(500 * random.nextDouble(), () -> beat(self));
      }
    }

    private void beat(int self) {
      for (int to = 0; !still[self] && to < heardAt.length; to++) {
        messages += to == self ? 0 : 1;
        boolean lost = random.nextDouble() < losses[self][to];
        int other = to;
        clock.after(2 * random.nextDouble(), () -> {
          heardAt[other][self] = lost ? heardAt[other][self] : clock.now(); // what waits is read first
          dead[other][self] &= lost;
        });
        if (!dead[self][to] && to != self && clock.now() - heardAt[self][to] > 4_000) {
          dead[self][to] = true;
          wrong++;
          lastDeathAt = clock.now();
        }
      }
      clock.after(500, () -> beat(self));
    }
  }

  @Test
  void heartbeats() {
    for (int members : new int[] {3, 14, 100, 400}) {
      Heartbeats fleet = new Heartbeats(members, 1);
      fleet.clock.runTo(20_000);
      System.out.printf("heartbeats %d: %.0f messages a member a second", members,
          fleet.messages / 20.0 / members);
      fleet.still[0] = true; // for good
      fleet.clock.runTo(30_000);
      System.out.printf(", a crash known to all after %.0f ms%n", fleet.lastDeathAt - 20_000);
    }
    for (int members : new int[] {3, 14}) {
      long wrong = 0;
      for (int seed = 0; seed < 20; seed++) {
        Heartbeats fleet = new Heartbeats(members, seed);
        for (double[] row : fleet.losses) {
          Arrays.fill(row, 0.05);
        }
        for (int i = 0; i < 60; i++) {
          int one = fleet.random.nextInt(members);
          int other = (one + 1 + fleet.random.nextInt(members - 1)) % members;
          int still = fleet.random.nextInt(members);
          fleet.losses[one][other] = 1;
          fleet.still[still] = true;
          fleet.clock.runTo(10_000.0 * i + 500 + fleet.random.nextInt(2_500));
          fleet.still[still] = false;
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
      MemberFleet fleet = new MemberFleet(members, USUAL, 1);
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

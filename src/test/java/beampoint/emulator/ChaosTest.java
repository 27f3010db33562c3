package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.policy.BalancerPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Random scenarios with several overlapping faults on fleets of several sizes: no rule may be broken. */
class ChaosTest {

  private static final long FIRST_SEED = Long.getLong("chaos.first", 1); // set for longer searches
  private static final int RUNS = Integer.getInteger("chaos.days", 25);
  private static final String[] FAULTS = {"crash", "silent", "slow", "refuse", "errors", "roll", "restart",
      "origin-slow", "discovery-down", "surge"};

  /** Draws a scenario from a seed: size, load, rules, and two to five overlapping faults. */
  static Scenario scenario(long seed) throws Exception {
    Random random = new Random(seed);
    int caches = 4 + random.nextInt(20);
    int proxies = 1 + random.nextInt(6);
    double load = caches * (20 + 25 * random.nextDouble()); // requests a second, 1/3 to 2/3 of capacity
    StringBuilder scenario = new StringBuilder("version: 1\nseconds: 25\nseed: " + seed + "\nzones: "
        + (1 + random.nextInt(3)) + "\nproxies: " + proxies + "\ndiscovery_ms: "
        + (100 + random.nextInt(1500))
        + "\nsettings: {attempts: " + (1 + random.nextInt(5)) + ", probes: " + random.nextBoolean()
        + ", retry_advice: " + random.nextBoolean() + "}\n"
        + "rules: {drain_grace_ms: 500, fall_multiple: 3, fall_window_ms: 2000, cold_from: 0.15, "
        + "warm_up_ms: 15000}\nclasses:\n"
        + "  - {name: read, share: 90, work_ms: 30, aim_ms: 500, deadline_ms: 1200}\n"
        + "  - {name: put, effect: unsafe, write: true, share: 6, work_ms: 1, aim_ms: 900, "
        + "deadline_ms: 3000}\n"
        + "  - {name: note, effect: keyed, write: true, share: 4, work_ms: 1, aim_ms: 900, "
        + "deadline_ms: 3000}\n"
        + "tenants:\n  - {name: one, quota_per_s: " + load * 0.6 + "}\n  - {name: two, quota_per_s: "
        + load * 0.4 + "}\nkeys: {count: 8000, zipf: 0.9, drift_per_s: 2}\n"
        + "caches: {count: " + caches + ", memory_keys: 1200}\norigin: {servers: "
        + (4 + (int) (load / 12)) + ", work_ms: 80}\nfaults:\n");
    int faults = 2 + random.nextInt(4);
    for (int i = 0; i < faults; i++) {
      String fault = FAULTS[random.nextInt(FAULTS.length)];
      scenario.append("  - {what: ").append(fault).append(", at_s: ").append(3 + 10 * random.nextDouble())
          .append(", for_s: ").append(1 + 9 * random.nextDouble()).append(", part: ")
          .append(0.1 + 0.5 * random.nextDouble()).append(fault.equals("surge") ? ", tenant: one" : "")
          .append(fault.equals("errors") ? "" : ", factor: " + (2 + 4 * random.nextDouble())).append("}\n");
    }
    return Scenario.parse("day " + seed, scenario.toString());
  }

  /**
   * On these seeds caches restart cold during an outage of discovery: their falls count but break no rule.
   */
  @Test
  void theFallOfAColdCacheThatProxiesWereNotNotifiedOfBreaksNoRule() throws Exception {
    double falls = 0;
    for (long seed : new long[] {1176, 1210, 1430}) {
      Report report = Emulation.run(scenario(seed), BalancerPolicy::new);
      assertEquals(List.of(), report.brokenRules());
      falls += report.figures().get("cold_falls");
    }
    assertTrue(falls > 0, "falls on these seeds: " + falls);
  }

  @Test
  void noRuleIsBrokenUnderSeveralFaultsAtOnce() throws Exception {
    List<String> broken = new ArrayList<>();
    double service = 0;
    double falls = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      Report report = Emulation.run(scenario(seed), BalancerPolicy::new);
      report.brokenRules().stream().limit(2).forEach(broken::add);
      service += report.service() / RUNS;
      falls += report.figures().get("cold_falls");
    }
    assertEquals(List.of(), broken);
    assertTrue(falls <= 1 + RUNS / 25.0, "cold caches that fell: " + falls);
    assertTrue(service > 0.5, "mean service: " + service);
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Limits;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Prices;
import beampoint.Balancer.Result;
import beampoint.Balancer.Rules;
import beampoint.Balancer.Settings;
import beampoint.Balancer.Tenant;
import beampoint.Balancer.WeightSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Whether a hundred instances that share no state together overload a cold cache. */
class HundredInstancesSlowStartTest {

  private static final int INSTANCES = 100;
  private static final int CACHES = 150;
  private static final double RATE = 2; // requests per ms, over all instances
  private static final double CAPACITY = RATE / 0.6 / CACHES; // requests per ms that one warm cache can serve
  // drainGrace, fallMultiple, fallWindow, coldFrom, warmUp, askEvery
  private static final Rules RULES = new Rules(500, 1.3, 2_000, 0.15, 15_000, 10_000);

  /** Times of the requests to each cold cache in the last window. */
  private final Map<String, Deque<Double>> sent = new HashMap<>();
  private double worst = Double.NEGATIVE_INFINITY; // requests over what a cold cache can take
  private long toCold;

  /**
   * Requests of mean work that a cold cache can take in a window: N + 2 sqrt(N) + 2, where N is the number
   * that the settings allow and the rest is for random variation.
   */
  private static double capacityOfColdCache(double age) {
    double allowed = RULES.fallMultiple() * RULES.warmth(age) * CAPACITY * RULES.fallWindow();
    return allowed + 2 * Math.sqrt(allowed) + 2;
  }

  private void run(long seed, int cold, int busy) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    var keys = RejectionInversionZipfSampler.of(random, 40_000, 0.9);
    double now = 100_000;
    double begin = now;
    List<BalancerFixture> fleet = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      // BalancerFixture.settings names the parameters in order.
      fleet.add(new BalancerFixture(new Settings(seed + i, INSTANCES, i % 2, true, WeightSource.NOMINAL,
          BalancerFixture.ORIGIN, 0.05, new Limits(3, false, false, true, 400, 50), RULES,
          new Prices(0.03, 0.03, 0.05, 0.03), List.of(BalancerFixture.READ),
          List.of(new Tenant(RATE * 1_000)))));
      fleet.get(i).now = now;
      fleet.get(i).receiveList(ListKind.FULL, BalancerFixture.fleet(CACHES));
    }
    boolean restarted = false;
    for (double end = now + 20_000; now < end; now += -Math.log(1 - random.nextDouble()) / RATE) {
      if (!restarted && now > begin + 6_000) {
        restarted = true;
        begin = now;
        List<Endpoint> started = new ArrayList<>();
        for (int i = 0; i < cold; i++) {
          started.add(BalancerFixture.cache(i, EndpointState.RUNNING, now));
        }
        for (BalancerFixture f : fleet) {
          f.now = now;
          f.receiveList(ListKind.CHANGES, started);
        }
      }
      // One instance in five gets several times an even share of the traffic.
      int number = random.nextInt(random.nextDouble() < 0.5 ? INSTANCES : busy);
      BalancerFixture f = fleet.get(number);
      f.now = now;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(keys.sample()));
      if (endpoint != null && restarted && Integer.parseInt(endpoint.substring(6)) < cold) {
        Deque<Double> window = sent.computeIfAbsent(endpoint, e -> new ArrayDeque<>());
        window.add(now);
        while (window.peekFirst() < now - RULES.fallWindow()) {
          window.pollFirst();
        }
        worst = Math.max(worst, window.size() - capacityOfColdCache(now - begin));
        toCold++;
      }
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 120, Result.OK);
      }
    }
  }

  @Test
  void aHundredInstancesTogetherDoNotOverloadAColdCache() {
    for (int cold : new int[] {1, 15, 90}) {
      sent.clear();
      toCold = 0;
      run(cold, cold, 20);
      assertTrue(worst <= 0, "over what a cold cache of " + cold + " can take: " + worst);
      assertTrue(toCold > 30L * cold, "sent to " + cold + " cold caches: " + toCold);
    }
  }
}

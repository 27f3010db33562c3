package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
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
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The combined effect of many balancers, called instances, that share no state. */
class MultiInstanceTest {

  private static final int INSTANCES = 14;
  private static final int CACHES = 60;
  private static final double RATE = 0.7; // requests per ms, over all instances
  /** Window in ms of the limit on requests to a cold cache. */
  private static final double WINDOW = 2_000;
  private static final double COLD_FROM = 0.25;
  /** Requests that a cold cache can serve in a window; RATE is 0.6 of what all warm caches can serve. */
  private static final double COLD_CAPACITY = RATE / 0.6 / CACHES * WINDOW * COLD_FROM;

  private final Random random = new Random(5);
  private final List<BalancerFixture> fleet = new ArrayList<>();
  /** Times of the requests to each cold cache in the last window. */
  private final Map<String, Deque<Double>> sent = new HashMap<>();
  private final Map<String, Integer> total = new HashMap<>();
  private double now = 100_000;
  private int maxInWindow; // most requests to one cold cache in any window
  private double extraPart; // fraction of the requests that the first instance gets beside its even share

  private static BalancerFixture newInstance(long seed) {
    return newInstance(seed, 0, 0);
  }

  private static BalancerFixture newInstance(long seed, int zone, double crossZone) {
    // BalancerFixture.settings names the parameters in order.
    return new BalancerFixture(new Settings(seed, INSTANCES, zone, true, WeightSource.NOMINAL,
        BalancerFixture.ORIGIN, 0.05,
        new Limits(3, false, false, true, 400, 50), new Rules(500, 3, WINDOW, COLD_FROM, 20_000, 10_000),
        new Prices(0, 0, 0, crossZone), List.of(BalancerFixture.READ), List.of(new Tenant(RATE * 1_000))));
  }

  private static List<Endpoint> caches(int coldCount, double startedAt) {
    List<Endpoint> endpoints = BalancerFixture.fleet(CACHES);
    for (int i = 0; i < coldCount; i++) {
      endpoints.set(i, BalancerFixture.cache(i, EndpointState.RUNNING, startedAt));
    }
    return endpoints;
  }

  private void begin(int coldCount) {
    for (int i = 0; i < INSTANCES; i++) {
      fleet.add(newInstance(i));
    }
    list(coldCount);
  }

  private void list(int coldCount) {
    List<Endpoint> endpoints = caches(coldCount, now);
    for (BalancerFixture f : fleet) {
      f.now = now;
      f.receiveList(ListKind.FULL, endpoints);
    }
  }

  /** Reads of random keys at RATE, each answered at once. */
  private void run(int coldCount, double time) {
    for (double end = now + time; now < end;) {
      now += -Math.log(1 - random.nextDouble()) / RATE;
      boolean toFirst = random.nextDouble() < extraPart;
      BalancerFixture f = fleet.get(toFirst ? 0 : random.nextInt(INSTANCES));
      f.now = now;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(random.nextInt(1 << 20)));
      if (endpoint == null) {
        continue;
      }
      if (Integer.parseInt(endpoint.substring(6)) < coldCount) {
        Deque<Double> window = sent.computeIfAbsent(endpoint, e -> new ArrayDeque<>());
        window.add(now);
        while (window.peekFirst() < now - WINDOW) {
          window.pollFirst();
        }
        maxInWindow = Math.max(maxInWindow, window.size());
        total.merge(endpoint, 1, Integer::sum);
      }
      f.endAttempt(id, 0, endpoint, 150, Result.OK); // slow enough that the fleet does not look idle
    }
  }

  private void assertNeitherOverloadedNorStarved(int coldCount, double time) {
    assertTrue(maxInWindow <= 3 * COLD_CAPACITY,
        "to one cold cache of " + coldCount + " in a window: " + maxInWindow);
    double all = total.values().stream().mapToInt(i -> i).sum();
    double expectedTotal = coldCount * COLD_CAPACITY * 0.6 * time / WINDOW;
    assertTrue(all >= expectedTotal / 2,
        "to " + coldCount + " cold caches: " + all + " of " + expectedTotal + " or more");
  }

  @Test
  void newInstancesNeitherOverloadNorStarveOneColdCache() {
    begin(1);
    run(1, 4_000);
    assertNeitherOverloadedNorStarved(1, 4_000);
  }

  @Test
  void newInstancesNeitherOverloadNorStarveThirtySixColdCaches() {
    begin(36);
    run(36, 4_000);
    assertNeitherOverloadedNorStarved(36, 4_000);
  }

  @Test
  void instancesThatKnowTheirRateNeitherOverloadNorStarveColdCaches() {
    begin(0);
    run(0, 4_000);
    list(1);
    run(1, 4_000);
    assertNeitherOverloadedNorStarved(1, 4_000);
    total.clear();
    sent.clear();
    list(36);
    run(36, 4_000);
    assertNeitherOverloadedNorStarved(36, 4_000);
  }

  /**
   * Reads of random keys while the first {@code dead} caches refuse connections but are still in the list.
   */
  private void runWithDeadCaches(int dead, double time) {
    for (double end = now + time; now < end;) {
      now += -Math.log(1 - random.nextDouble()) / RATE;
      BalancerFixture f = fleet.get(random.nextInt(INSTANCES));
      f.now = now;
      long id = f.nextId();
      String to = BalancerFixture.sentTo(f.read(random.nextInt(1 << 20)));
      for (int attempt = 0; to != null && attempt < 3; attempt++) {
        boolean refuses = Integer.parseInt(to.substring(6)) < dead;
        Result result = refuses ? Result.CONNECT_FAILED : Result.OK;
        to = BalancerFixture.sentTo(f.endAttempt(id, attempt, to, refuses ? 50 : 150, result));
      }
    }
  }

  /**
   * Observations from before an outage must not count against caches that restart at the same addresses: they
   * are cold, and neither skipped nor sent their full share.
   */
  @Test
  void cachesThatRestartAfterAnOutageAreNeitherOverloadedNorStarved() {
    begin(0);
    run(0, 4_000);
    runWithDeadCaches(30, 6_000);
    list(30);
    run(30, 4_000);
    assertNeitherOverloadedNorStarved(30, 4_000);
  }

  /** The rate limit must not assume an even share of the traffic: each client may use a proxy of its own. */
  @Test
  void aColdCacheIsNeitherOverloadedNorStarvedWhereOneInstanceHasHalfOfTheTraffic() {
    extraPart = 0.5;
    begin(0);
    run(0, 4_000);
    list(1);
    run(1, 4_000);
    assertNeitherOverloadedNorStarved(1, 4_000);
  }

  /** Zone-local placement must not send a cold cache the share of a whole zone. */
  @Test
  void aColdCacheIsNeitherOverloadedNorStarvedBesideZoneLocalPlacement() {
    for (int i = 0; i < INSTANCES; i++) {
      fleet.add(newInstance(i, i % 2, 0.03));
    }
    list(0);
    run(0, 12_000);
    list(1);
    run(1, 4_000);
    assertNeitherOverloadedNorStarved(1, 4_000);
  }

  /** A fleet shrinks to a third while requests are in flight at caches and at the origin. */
  @Test
  void nothingNewGoesToCachesThatDrainWhileRequestsAreInFlight() {
    begin(0);
    List<Endpoint> shrunkList = new ArrayList<>();
    for (int i = 0; i < CACHES; i++) {
      shrunkList
          .add(BalancerFixture.cache(i, i < CACHES / 3 ? EndpointState.RUNNING : EndpointState.DRAINING, 0));
    }
    shrunkList.add(BalancerFixture.originEndpoint());
    for (BalancerFixture f : fleet) {
      Map<Long, String> out = new HashMap<>();
      for (int i = 0; i < 30; i++) { // ten keys, three times each
        long id = f.nextId();
        out.put(id, BalancerFixture.sentTo(f.read(i % 10)));
      }
      List<Long> fetching = new ArrayList<>();
      out.forEach((id, endpoint) -> {
        if (endpoint != null
            && "origin".equals(BalancerFixture.sentTo(f.endAttempt(id, 0, endpoint, 20, Result.MISS)))) {
          fetching.add(id);
        }
      });
      assertTrue(!fetching.isEmpty());
      f.receiveList(ListKind.CHANGES, shrunkList);
      for (long id : fetching) {
        for (Balancer.Action action : f.endAttempt(id, 1, "origin", 100, Result.OK)) {
          String sentTo = action instanceof Balancer.Send send ? send.endpoint() : null;
          assertTrue(isRunning(sentTo), "sent to " + sentTo);
        }
      }
      for (long key = 0; key < 300; key++) {
        assertTrue(isRunning(f.serve(key)));
      }
    }
  }

  private static boolean isRunning(String endpoint) {
    return endpoint == null || "origin".equals(endpoint)
        || Integer.parseInt(endpoint.substring(6)) < CACHES / 3;
  }

  /** A proxy that restarts must not send to caches of its remembered list once it has the current one. */
  @Test
  void nothingIsSentToCachesOfARememberedListOnceTheCurrentOneHasCome() {
    for (int i = 0; i < INSTANCES; i++) {
      BalancerFixture f = newInstance(i);
      f.receiveList(ListKind.REMEMBERED, BalancerFixture.fleet(CACHES));
      f.serve(1);
      f.receiveList(ListKind.FULL, BalancerFixture.fleet(15));
      for (long key = 0; key < 500; key++) {
        f.now += 5;
        int number = Integer.parseInt(f.serve(key).substring(6));
        assertTrue(number < 15, "sent to cache-" + number + ", which is gone");
      }
    }
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.Result;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** How many requests a cold cache is sent while it warms up. */
class ColdCacheTest {

  @Test
  void aColdCacheIsSentNoMoreThanItsPartOfAHotKey() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(4, EndpointState.RUNNING, f.now)));
    long hot = 0;
    while (!"cache-4".equals(f.serve(hot))) {
      hot++;
    }
    int cold = 0;
    for (int i = 0; i < 400; i++) {
      f.serve(i);
      cold += "cache-4".equals(f.serve(hot)) ? 1 : 0;
    }
    assertTrue(cold < 800 / 4, "sent to the cold cache: " + cold);
  }

  private static int sentToCold(BalancerFixture f, int requests, double gapMs, double elapsed) {
    int cold = 0;
    for (int i = 0; i < requests; i++) {
      f.now += gapMs;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(20_000 + i));
      cold += "cache-3".equals(endpoint) ? 1 : 0;
      f.endAttempt(id, 0, endpoint, elapsed, Result.OK);
    }
    return cold;
  }

  /** One cold cache beside three warm ones, at a balancer that has served {@code served} requests. */
  private static BalancerFixture besideAColdCache(int served, double elapsed) {
    BalancerFixture f =
        new BalancerFixture(List.of(new Balancer.Tenant(100)), BalancerFixture.READ).withFleet(3);
    f.now = 10_000;
    sentToCold(f, served, 20, elapsed);
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(3, EndpointState.RUNNING, f.now - 1_000)));
    return f;
  }

  @Test
  void aBalancerThatHasJustStartedSendsAColdCacheItsPart() {
    BalancerFixture f = besideAColdCache(0, 0);
    int cold = 0;
    for (long key = 0; key < 100; key++) {
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(key));
      cold += "cache-3".equals(endpoint) ? 1 : 0;
      f.balancer.handle(f.now, new RequestGone(id));
      f.endAttempt(id, 0, endpoint, 1, Result.CANCELLED); // no observation yet
    }
    assertTrue(cold > 0, "without observations");
    assertTrue(cold < 100 / 4, "without observations: " + cold);
    f.now += 1_000;
    cold = sentToCold(f, 200, 20, 20);
    assertTrue(cold >= 200 / 16, "sent to the cold cache once its rate was known: " + cold);
  }

  @Test
  void aColdCacheIsSentItsPartWhileTheFleetAnswersSlowly() {
    BalancerFixture f = besideAColdCache(100, 250);
    int cold = sentToCold(f, 100, 20, 250);
    assertTrue(cold >= 100 / 16, "sent to the cold cache: " + cold);
  }

  @Test
  void emptyColdCachesAreSentEnoughRequestsToFill() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    for (long key = 0; key < 2_000; key++) {
      f.serve(key);
      f.now += 10;
    }
    List<Endpoint> cold = IntStream.range(0, 4)
        .mapToObj(i -> BalancerFixture.cache(i, EndpointState.RUNNING, f.now)).toList();
    f.receiveList(ListKind.CHANGES, cold);
    int sent = 0;
    for (long key = 0; key < 1_500; key++) {
      long id = f.nextId();
      String cache = BalancerFixture.sentTo(f.read(key));
      if (cache != null) {
        sent++;
        if ("origin".equals(BalancerFixture.sentTo(f.endAttempt(id, 0, cache, 1, Result.MISS)))) {
          f.endAttempt(id, 1, "origin", 5, Result.OK);
        }
      }
      f.now += 2;
    }
    assertTrue(sent > 100, "sent: " + sent);
    assertTrue(sent < 500, "sent: " + sent);
  }

  /** The part of the requests of many balancers together that a cold cache is sent in its first window. */
  private static double partOfAColdCache(int instances) {
    long cold = 0;
    int all = 4_000;
    List<BalancerFixture> fleet =
        IntStream.range(0, instances).mapToObj(i -> BalancerFixture.withTraffic(10)).toList();
    for (BalancerFixture f : fleet) {
      f.now += 10_000;
      f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(3, EndpointState.RUNNING, f.now)));
    }
    for (int i = 0; i < all; i++) {
      BalancerFixture f = fleet.get(i % instances);
      f.now += instances * 0.25;
      cold += "cache-3".equals(f.serve(5_000 + i)) ? 1 : 0;
    }
    return (double) cold / all;
  }

  @Test
  void anyNumberOfBalancersTogetherSendAColdCacheItsPart() {
    for (int instances : new int[] {1, 3, 400}) {
      double part = partOfAColdCache(instances);
      assertTrue(part > 0 && part < 0.1 * 0.25 * 3, instances + " balancers: " + part);
    }
  }

  @Test
  void aRestartedCacheIsColdAndNoLongerEjected() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    Map<Long, String> before = f.placement();
    long own =
        before.keySet().stream().filter(k -> before.get(k).equals("cache-1")).findFirst().orElseThrow();
    f.now += 3_000; // without an answer from it
    long id = f.nextId();
    f.read(own);
    f.endAttempt(id, 0, "cache-1", 1, Result.RESET);
    f.balancer.handle(f.now, new RequestGone(id));
    assertNotEquals("cache-1", f.serve(own));
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1, EndpointState.RUNNING, f.now)));
    Map<Long, String> after = f.placement();
    long share = after.values().stream().filter("cache-1"::equals).count();
    assertTrue(share > 0 && share < before.values().stream().filter("cache-1"::equals).count() / 2,
        "share: " + share);
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.BanChanged;
import beampoint.Balancer.CloseIdle;
import beampoint.Balancer.ColdShareChanged;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.Result;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How a balancer treats caches that operators ban, and those whose ban has ended. */
class BanTest {

  private static final int KEYS = 400;

  private static Map<Long, String> placement(BalancerFixture f) {
    return f.placement(KEYS);
  }

  private static List<Action> changeBan(BalancerFixture f, String endpoint, boolean out) {
    return f.balancer.handle(f.now, new BanChanged(endpoint, out, f.now));
  }

  private static long share(Map<Long, String> placed, String endpoint) {
    return placed.values().stream().filter(endpoint::equals).count();
  }

  @Test
  void aBanMovesOnlyTheBucketsOfItsCacheAndClosesItsIdleConnections() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    Map<Long, String> before = placement(f);
    assertTrue(changeBan(f, "cache-3", true).contains(new CloseIdle("cache-3")));
    placement(f).forEach((key, cache) -> {
      assertNotEquals("cache-3", cache);
      assertTrue(before.get(key).equals("cache-3") || before.get(key).equals(cache));
    });
  }

  /** A list must not end a ban, whether it says that the cache runs, has restarted, or is gone. */
  @Test
  void noListEndsABan() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    changeBan(f, "cache-1", true);
    for (int i = 0; i < 5; i++) {
      f.now += 1000;
      switch (i) {
        case 0 -> f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1)));
        case 1 -> f.receiveList(ListKind.FULL, BalancerFixture.fleet(4));
        case 2 ->
          f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1, EndpointState.RUNNING, f.now)));
        case 3 -> f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1, EndpointState.GONE, 0)));
        default -> f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1)));
      }
      assertFalse(placement(f).containsValue("cache-1"), "after list " + i);
    }
    changeBan(f, "cache-1", false);
    f.now += 20_000;
    f.receiveList(ListKind.CHANGES, List.of());
    assertTrue(placement(f).containsValue("cache-1"));
  }

  @Test
  void aBanBeforeTheFirstListHolds() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ);
    changeBan(f, "cache-1", true);
    f.withFleet(4);
    assertFalse(placement(f).containsValue("cache-1"));
  }

  @Test
  void aCacheTakenOutTwiceAndPutBackOnceIsInUse() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    changeBan(f, "cache-1", true);
    f.now += 100;
    changeBan(f, "cache-1", true);
    changeBan(f, "cache-1", false);
    assertTrue(placement(f).containsValue("cache-1"));
    Map<Long, String> before = placement(f);
    changeBan(f, "cache-2", false);
    assertEquals(before, placement(f), "putting back a cache that was never out changes nothing");
  }

  /**
   * A cache is assumed to have been restarted during its ban. Lists are late, so without this assumption the
   * cold cache would be sent its full share.
   */
  @Test
  void aCacheThatIsPutBackIsColdBeforeTheListSaysSo() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    f.now = 100_000;
    long full = share(placement(f), "cache-1");
    changeBan(f, "cache-1", true);
    f.now += 4_000;
    changeBan(f, "cache-1", false);
    long cold = share(placement(f), "cache-1");
    assertTrue(cold > 0 && cold < full / 2, cold + " of " + full);
    f.receiveList(ListKind.FULL, BalancerFixture.fleet(4)); // with the start time from before the ban
    assertTrue(share(placement(f), "cache-1") < full / 2, "a start before the ban does not make it warm");
    f.now += 9_000;
    placement(f);
    assertEquals(full, share(placement(f), "cache-1"));
  }

  /** A start time in the list counts if it is later than the beginning of the ban. */
  @Test
  void aListedStartAfterTheBanBeganIsUsed() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    f.now = 100_000;
    long full = share(placement(f), "cache-1");
    changeBan(f, "cache-1", true);
    double started = f.now + 1_000;
    f.now += 10_000;
    changeBan(f, "cache-1", false);
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1, EndpointState.RUNNING, started)));
    assertEquals(full, share(placement(f), "cache-1"), "it has warmed up since that start");
  }

  /** A cache that failed before its restart must not be skipped after it. */
  @Test
  void observationsFromBeforeABanAreDropped() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    f.now = 100_000;
    long own = placement(f).entrySet().stream().filter(e -> e.getValue().equals("cache-1")).findFirst()
        .orElseThrow().getKey();
    f.now += 3_000;
    long id = f.nextId();
    assertEquals("cache-1", BalancerFixture.sentTo(f.read(own)));
    f.endAttempt(id, 0, "cache-1", 1, Result.RESET); // ejected for a while
    changeBan(f, "cache-1", true);
    changeBan(f, "cache-1", false);
    assertTrue(share(placement(f), "cache-1") > 0);
  }

  @Test
  void whileAllCachesAreBannedReadsAreRefusedAndWritesAreSent() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(2);
    changeBan(f, "cache-0", true);
    changeBan(f, "cache-1", true);
    assertTrue(BalancerFixture.has(f.read(1), Refuse.class));
    assertEquals("origin", BalancerFixture.sentTo(f.request(0, 0, 1, true)));
  }

  /** Two processes of one proxy must not each send a cold cache as much as one may. */
  @Test
  void twoProcessesOfOneBalancerShareTheRateForAColdCache() {
    int whole = sentToCold(1);
    int half = sentToCold(0.5);
    assertTrue(half < whole * 0.75, half + " and " + whole);
  }

  private static int sentToCold(double part) {
    BalancerFixture f =
        new BalancerFixture(List.of(new Balancer.Tenant(400)), BalancerFixture.READ).withFleet(4);
    f.now = 100_000;
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(4, EndpointState.RUNNING, f.now)));
    f.balancer.handle(f.now, new ColdShareChanged(part));
    int cold = 0;
    for (int i = 0; i < 4_000; i++) {
      f.now += 0.2;
      cold += "cache-4".equals(f.serve(i)) ? 1 : 0;
    }
    return cold;
  }
}

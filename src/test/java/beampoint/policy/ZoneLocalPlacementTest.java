package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Limits;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Prices;
import beampoint.Balancer.Result;
import beampoint.Balancer.Rules;
import beampoint.Balancer.Settings;
import beampoint.Balancer.WeightSource;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Placement of buckets on caches of the balancer's own zone, before the cache that all zones share. */
class ZoneLocalPlacementTest {

  private static final int CACHES = 12;
  private static final int KEYS = 300;

  private static BalancerFixture instance(int zone, double price) {
    // BalancerFixture.settings names the parameters in order.
    return new BalancerFixture(
        new Settings(zone + 1, 20, zone, true, WeightSource.NOMINAL, BalancerFixture.ORIGIN, 0.1,
            new Limits(3, false, false, true, 400, 50), new Rules(500, 3, 1_000, 0.25, 8_000, 10_000),
            new Prices(0, 0, 0, price), List.of(BalancerFixture.READ), List.of()))
        .withFleet(CACHES);
  }

  private static int zone(String endpoint) {
    return Integer.parseInt(endpoint.substring(6)) % 2; // as the fixture places them
  }

  private static List<String> places(BalancerFixture f) {
    List<String> places = new ArrayList<>();
    for (long key = 0; key < KEYS; key++) {
      places.add(f.serve(key));
    }
    return places;
  }

  private static long inZone(List<String> places, int zone) {
    return places.stream().filter(place -> zone(place) == zone).count();
  }

  /** One fetch from the origin, with this result. */
  private static void fetch(BalancerFixture f, Result result, double elapsed) {
    long id = f.nextId();
    String cache = BalancerFixture.sentTo(f.read(77_777));
    assertEquals("origin", BalancerFixture.sentTo(f.endAttempt(id, 0, cache, 10, Result.MISS)));
    f.endAttempt(id, 1, "origin", elapsed, result);
  }

  @Test
  void whileTheOriginHasRoomBucketsMoveToTheOwnZoneGradually() {
    BalancerFixture f = instance(1, 0.03);
    List<String> before = places(f);
    assertEquals(before, places(instance(0, 0.03)));
    f.now += 4_000;
    long half = inZone(places(f), 1);
    f.now += 8_000;
    List<String> after = places(f);
    assertTrue(half > inZone(before, 1) + 30 && half < KEYS - 30, "half way: " + half);
    assertEquals(KEYS, inZone(after, 1));
    for (int i = 0; i < KEYS; i++) {
      assertTrue(zone(before.get(i)) != 1 || before.get(i).equals(after.get(i)), "moved without a reason");
    }
  }

  @Test
  void instancesOfOneZoneAgreeAndAllDoWhereCrossingZonesIsFree() {
    BalancerFixture one = instance(1, 0.03);
    BalancerFixture other = instance(1, 0.03);
    BalancerFixture free = instance(1, 0);
    BalancerFixture otherFree = instance(0, 0);
    for (BalancerFixture f : List.of(one, other, free, otherFree)) {
      f.now += 60_000;
    }
    assertEquals(places(one), places(other));
    assertEquals(places(free), places(otherFree));
  }

  /** Keys kept in several zones miss more often, which could overload the origin. */
  @Test
  void aFailedFetchWithdrawsAllZoneLocalPlacements() {
    BalancerFixture f = instance(1, 0.03);
    List<String> shared = places(f);
    f.now += 20_000;
    fetch(f, Result.OK, 400);
    assertEquals(KEYS, inZone(places(f), 1));
    fetch(f, Result.CONNECT_FAILED, 5);
    assertEquals(shared, places(f));
  }

  /** A cold cache gets only what the shared ring gives it: a zone's part could overload it. */
  @Test
  void aColdCacheIsNotUsedAsZoneLocalCache() {
    BalancerFixture f = instance(1, 0.03);
    f.now += 20_000;
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < CACHES; i++) {
      endpoints
          .add(i == 3 ? BalancerFixture.cache(3, EndpointState.RUNNING, f.now) : BalancerFixture.cache(i));
    }
    endpoints.add(BalancerFixture.originEndpoint());
    f.receiveList(ListKind.FULL, endpoints);
    BalancerFixture shared = instance(1, 0);
    shared.now = f.now;
    shared.receiveList(ListKind.FULL, endpoints);
    List<String> local = places(f);
    List<String> sharedPlaces = places(shared);
    for (int i = 0; i < KEYS; i++) {
      if ("cache-3".equals(local.get(i))) {
        assertEquals("cache-3", sharedPlaces.get(i));
      }
    }
  }

  @Test
  void aZoneWithoutCachesUsesTheSharedRing() {
    BalancerFixture f = instance(1, 0.03);
    f.now += 20_000;
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < CACHES; i += 2) {
      endpoints.add(BalancerFixture.cache(i));
    }
    f.receiveList(ListKind.FULL, endpoints);
    assertEquals(0, inZone(places(f), 1));
  }

  /** A zone-local cache that refuses connections is skipped; its keys go to the shared cache. */
  @Test
  void aZoneLocalCacheThatRefusesIsFollowedByTheSharedOne() {
    BalancerFixture f = instance(1, 0.03);
    List<String> shared = places(f);
    f.now += 20_000;
    List<String> local = places(f);
    int moved = 0;
    while (local.get(moved).equals(shared.get(moved))) {
      moved++;
    }
    f.now += 20_000;
    long id = f.nextId();
    String first = BalancerFixture.sentTo(f.read(moved));
    assertEquals(local.get(moved), first);
    String second = BalancerFixture.sentTo(f.endAttempt(id, 0, first, 5, Result.CONNECT_FAILED));
    assertEquals(shared.get(moved), second);
    assertNotEquals(first, f.serve(moved));
  }
}

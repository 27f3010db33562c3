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

/** Places of buckets in the own zone, before the one that all zones share. */
class ZoneLocalPlacementTest {

  private static final int CACHES = 12;
  private static final int KEYS = 300;

  private static Fixture instance(int zone, double price) {
    return new Fixture(new Settings(zone + 1, 20, zone, true, WeightSource.NOMINAL, Fixture.ORIGIN, 0.1,
        new Limits(3, false, false, true, 400, 50), new Rules(500, 3, 1_000, 0.25, 8_000, 10_000),
        new Prices(0, 0, 0, price), List.of(Fixture.READ), List.of())).withFleet(CACHES);
  }

  private static int zone(String endpoint) {
    return Integer.parseInt(endpoint.substring(6)) % 2; // as the fixture places them
  }

  private static List<String> places(Fixture f) {
    List<String> places = new ArrayList<>();
    for (long key = 0; key < KEYS; key++) {
      places.add(f.serve(key));
    }
    return places;
  }

  private static long inZone(List<String> places, int zone) {
    return places.stream().filter(place -> zone(place) == zone).count();
  }

  /** Lets time pass in which the origin has answered, or failed, once. */
  private static void fetch(Fixture f, Result result, double elapsed) {
    long id = f.nextId();
    String cache = Fixture.sentTo(f.read(77_777));
    assertEquals("origin", Fixture.sentTo(f.end(id, 0, cache, 10, Result.MISS)));
    f.end(id, 1, "origin", elapsed, result);
  }

  @Test
  void withRoomAtTheOriginBucketsGetPlacesInTheOwnZoneByAndBy() {
    Fixture f = instance(1, 0.03);
    List<String> before = places(f);
    assertEquals(before, places(instance(0, 0.03)));
    f.now += 4_000;
    long half = inZone(places(f), 1);
    f.now += 8_000;
    List<String> after = places(f);
    assertTrue(half > inZone(before, 1) + 30 && half < KEYS - 30, "half way: " + half);
    assertEquals(KEYS, inZone(after, 1));
    for (int i = 0; i < KEYS; i++) {
      assertTrue(zone(before.get(i)) != 1 || before.get(i).equals(after.get(i)), "moved without cause");
    }
  }

  @Test
  void instancesOfOneZoneAgreeAndWhereCrossingIsFreeAllDo() {
    Fixture one = instance(1, 0.03);
    Fixture other = instance(1, 0.03);
    Fixture free = instance(1, 0);
    Fixture far = instance(0, 0);
    for (Fixture f : List.of(one, other, free, far)) {
      f.now += 60_000;
    }
    assertEquals(places(one), places(other));
    assertEquals(places(free), places(far));
  }

  /** Guards against an origin that is sunk by the misses of keys kept in several zones. */
  @Test
  void aFetchThatFailsTakesAllNearPlacesBack() {
    Fixture f = instance(1, 0.03);
    List<String> shared = places(f);
    f.now += 20_000;
    fetch(f, Result.OK, 400);
    assertEquals(KEYS, inZone(places(f), 1));
    fetch(f, Result.CONNECT_FAILED, 5);
    assertEquals(shared, places(f));
  }

  /** A cold cache gets only what the shared ring gives it: a zone's part could push it over. */
  @Test
  void aColdCacheIsNoNearPlace() {
    Fixture f = instance(1, 0.03);
    f.now += 20_000;
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < CACHES; i++) {
      endpoints.add(i == 3 ? Fixture.cache(3, EndpointState.RUNNING, f.now) : Fixture.cache(i));
    }
    endpoints.add(Fixture.originEndpoint());
    f.list(ListKind.FULL, endpoints);
    Fixture shared = instance(1, 0);
    shared.now = f.now;
    shared.list(ListKind.FULL, endpoints);
    List<String> near = places(f);
    List<String> plain = places(shared);
    for (int i = 0; i < KEYS; i++) {
      if ("cache-3".equals(near.get(i))) {
        assertEquals("cache-3", plain.get(i));
      }
    }
  }

  @Test
  void aZoneWithoutCachesUsesTheSharedRing() {
    Fixture f = instance(1, 0.03);
    f.now += 20_000;
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < CACHES; i += 2) {
      endpoints.add(Fixture.cache(i));
    }
    f.list(ListKind.FULL, endpoints);
    assertEquals(0, inZone(places(f), 1));
  }

  /** A near place that refuses is skipped; what it had goes to the place that all share. */
  @Test
  void aNearPlaceThatRefusesIsFollowedByTheSharedOne() {
    Fixture f = instance(1, 0.03);
    List<String> shared = places(f);
    f.now += 20_000;
    List<String> near = places(f);
    int moved = 0;
    while (near.get(moved).equals(shared.get(moved))) {
      moved++;
    }
    f.now += 20_000;
    long id = f.nextId();
    String first = Fixture.sentTo(f.read(moved));
    assertEquals(near.get(moved), first);
    String second = Fixture.sentTo(f.end(id, 0, first, 5, Result.CONNECT_FAILED));
    assertEquals(shared.get(moved), second);
    assertNotEquals(first, f.serve(moved));
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.ListKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Placement of keys on caches: the ring, its changes, and the spill to a second cache. */
class PlacementTest {

  @Test
  void equalListsGiveEqualPlacementsInAnyOrderAndNeverTheOrigin() {
    BalancerFixture first = new BalancerFixture(BalancerFixture.READ).withFleet(8);
    BalancerFixture other = new BalancerFixture(BalancerFixture.READ);
    List<Endpoint> reversed =
        IntStream.rangeClosed(0, 8).mapToObj(i -> BalancerFixture.fleet(8).get(8 - i)).toList();
    other.receiveList(ListKind.FULL, reversed);
    Map<Long, String> placed = first.placement();
    assertEquals(placed, other.placement());
    assertFalse(placed.containsValue("origin"));
  }

  @Test
  void removingACacheMovesOnlyItsKeysAndItsReturnRestoresThem() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(8);
    Map<Long, String> before = f.placement();
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(3, EndpointState.GONE, 0)));
    Map<Long, String> without = f.placement();
    without.forEach((key, cache) -> {
      assertNotEquals("cache-3", cache);
      if (!before.get(key).equals("cache-3")) {
        assertEquals(before.get(key), cache);
      }
    });
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(3)));
    assertEquals(before, f.placement());
  }

  @Test
  void aWarmingCacheGetsMoreKeysAsItWarmsUp() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    Map<Long, String> before = f.placement();
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(4, EndpointState.RUNNING, f.now)));
    long last = 0;
    for (int i = 0; i < 5; i++) {
      f.now += 2_000;
      Map<Long, String> placed = f.placement();
      long count = placed.values().stream().filter("cache-4"::equals).count();
      placed.forEach((key, cache) -> assertTrue(cache.equals("cache-4") || cache.equals(before.get(key))));
      assertTrue(count >= last, "keys of the warming cache fell from " + last + " to " + count);
      last = count;
    }
    assertTrue(last > BalancerFixture.KEYS / 10, "keys of the warm cache: " + last);
  }

  @Test
  void aListThatChangesNoPointsDoesNotRebuildTheRing() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(8);
    BalancerPolicy policy = (BalancerPolicy) f.balancer;
    int before = policy.state.ringPoints.replacements();
    f.receiveList(ListKind.FULL, BalancerFixture.fleet(8));
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(3)));
    assertEquals(before, policy.state.ringPoints.replacements());
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(3, EndpointState.DRAINING, 0)));
    assertEquals(before + 1, policy.state.ringPoints.replacements());
  }

  @Test
  void aRingAfterManyChangesEqualsOneBuiltFromScratch() {
    java.util.Random random = new java.util.Random(3);
    BalancerFixture changed = new BalancerFixture(BalancerFixture.READ).withFleet(12);
    for (int i = 0; i < 60; i++) {
      EndpointState state = random.nextInt(3) == 0 ? EndpointState.GONE : EndpointState.RUNNING;
      changed.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(random.nextInt(20), state, 0)));
    }
    changed.receiveList(ListKind.FULL, BalancerFixture.fleet(9));
    assertEquals(new BalancerFixture(BalancerFixture.READ).withFleet(9).placement(), changed.placement());
  }

  @Test
  void nothingNewGoesToADrainingCacheOrOneMissingFromAFullList() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1, EndpointState.DRAINING, 0)));
    assertFalse(f.placement().containsValue("cache-1"));
    f.receiveList(ListKind.FULL, BalancerFixture.fleet(3));
    assertFalse(f.placement().containsValue("cache-3"));
  }

  @Test
  void changesCorrectAStaleRememberedList() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ);
    f.receiveList(ListKind.REMEMBERED, BalancerFixture.fleet(4));
    f.receiveList(ListKind.CHANGES,
        List.of(BalancerFixture.cache(2, EndpointState.GONE, 0), BalancerFixture.cache(7)));
    Map<Long, String> placed = f.placement();
    assertFalse(placed.containsValue("cache-2"));
    assertTrue(placed.containsValue("cache-7"));
  }

  @Test
  void aBusyPrimarySpillsToOneOtherCache() {
    BalancerFixture f = BalancerFixture.withTraffic(6);
    String primary = f.serve(5);
    Map<String, Integer> sent = new HashMap<>();
    for (int i = 0; i < 9; i++) {
      sent.merge(BalancerFixture.sentTo(f.read(5)), 1, Integer::sum);
    }
    assertEquals(2, sent.size(), sent.toString());
    assertTrue(sent.get(primary) >= 2, sent.toString());
  }

  @Test
  void aHotKeyIsServedByAsManyCachesAsItsTrafficFills() {
    BalancerFixture f = BalancerFixture.withTraffic(10);
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 600; i++) {
      served.merge(f.serve(5), 1, Integer::sum);
      f.serve(2_000 + i);
    }
    assertTrue(served.size() >= 5, served.toString());
  }

  @Test
  void aKeyIsServedWhileItsTwoCachesAreSlowForAMoment() {
    Balancer.RequestClass valuable =
        new Balancer.RequestClass(Idempotency.SAFE, DedupGroup.ALL, 2_000, 100, 1_500, 9, 0);
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ, valuable).withFleet(40);
    for (long key = 1_000; key < 1_400; key++) {
      f.serve(key);
    }
    f.read(5);
    f.now += 60;
    String other = BalancerFixture.sentTo(f.read(5));
    f.now += 60;
    assertNotNull(other);
    assertNotNull(BalancerFixture.sentTo(f.read(5)));
  }
}

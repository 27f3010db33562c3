package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.CloseIdle;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Fail;
import beampoint.Balancer.FollowList;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.Result;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.Settings;
import beampoint.Balancer.TimerFired;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The decision module, driven through its interface. */
class LogicTest {

  private static final int KEYS = 2_000;

  private static Map<Long, String> placement(Fixture f) {
    Map<Long, String> placed = new HashMap<>();
    for (long key = 0; key < KEYS; key++) {
      placed.put(key, f.served(key));
    }
    return placed;
  }

  /** Traffic among which a few requests for one key do not make that key a hot one. */
  private static Fixture busy(int caches) {
    Fixture f = new Fixture(Fixture.READ).withFleet(caches);
    for (long key = 1_000; key < 1_400; key++) {
      f.served(key);
    }
    return f;
  }

  // ---- Ring ----

  @Test
  void equalListsGiveEqualPlacementsInAnyOrderAndNeverTheOrigin() {
    Fixture one = new Fixture(Fixture.READ).withFleet(8);
    Fixture other = new Fixture(Fixture.READ);
    List<Endpoint> reversed = IntStream.rangeClosed(0, 8).mapToObj(i -> Fixture.fleet(8).get(8 - i)).toList();
    other.list(ListKind.FULL, reversed);
    Map<Long, String> placed = placement(one);
    assertEquals(placed, placement(other));
    assertFalse(placed.containsValue("origin"));
  }

  @Test
  void aGoneCacheMovesOnlyItsOwnKeysAndItsReturnBringsThemBack() {
    Fixture f = new Fixture(Fixture.READ).withFleet(8);
    Map<Long, String> before = placement(f);
    f.list(ListKind.CHANGES, List.of(Fixture.cache(3, EndpointState.GONE, 0)));
    Map<Long, String> without = placement(f);
    without.forEach((key, cache) -> {
      assertNotEquals("cache-3", cache);
      if (!before.get(key).equals("cache-3")) {
        assertEquals(before.get(key), cache);
      }
    });
    f.list(ListKind.CHANGES, List.of(Fixture.cache(3)));
    assertEquals(before, placement(f));
  }

  @Test
  void aWarmingCacheTakesKeysInStepWithItsWarmUp() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    Map<Long, String> before = placement(f);
    f.list(ListKind.CHANGES, List.of(Fixture.cache(4, EndpointState.RUNNING, f.now)));
    long last = 0;
    for (int i = 0; i < 5; i++) {
      f.now += 2_000;
      Map<Long, String> placed = placement(f);
      long own = placed.values().stream().filter("cache-4"::equals).count();
      placed.forEach((key, cache) -> assertTrue(cache.equals("cache-4") || cache.equals(before.get(key))));
      assertTrue(own >= last, "share fell from " + last + " to " + own);
      last = own;
    }
    assertTrue(last > KEYS / 10, "share when warm: " + last);
  }

  // ---- Pick ----

  @Test
  void aBusyPrimarySpillsToOneSecondCache() {
    Fixture f = busy(6);
    String primary = f.served(5);
    Map<String, Integer> sent = new HashMap<>();
    for (int i = 0; i < 9; i++) {
      sent.merge(Fixture.sentTo(f.read(5)), 1, Integer::sum);
    }
    assertEquals(2, sent.size(), sent.toString());
    assertTrue(sent.get(primary) >= 2, sent.toString());
  }

  @Test
  void workThatWouldComeTooLateIsRefusedAtOnceWithAdvice() {
    Fixture f = new Fixture(Fixture.READ).withFleet(2);
    for (long key = 0; key < 10; key++) {
      f.read(key);
    }
    f.now += 510;
    List<Action> last = f.read(10);
    assertEquals(List.of(new Refuse(f.nextId() - 1, 400)), last);
  }

  @Test
  void aFleetWithRoomServesAKeyWhoseTwoCachesAreBehindForAMoment() {
    Balancer.RequestClass worthy =
        new Balancer.RequestClass(Idempotency.SAFE, DedupGroup.ALL, 2_000, 100, 1_500, 9, 0);
    Fixture f = new Fixture(Fixture.READ, worthy).withFleet(40);
    for (long key = 1_000; key < 1_400; key++) {
      f.served(key);
    }
    f.read(5);
    f.now += 60;
    String other = Fixture.sentTo(f.read(5));
    f.now += 60;
    assertNotNull(other);
    assertNotNull(Fixture.sentTo(f.read(5)));
  }

  @Test
  void aBalancerThatSeldomSendsLearnsFromOneTimeOutThatACacheIsCrowded() {
    Fixture f = new Fixture(Fixture.READ).withFleet(2);
    long id = f.nextId();
    String crowded = Fixture.sentTo(f.read(5));
    f.now += 1_000;
    f.end(id, 0, crowded, 1_000, Result.TIMEOUT);
    assertNotEquals(crowded, f.served(5));
    f.now += 5_000;
    assertEquals(crowded, f.served(5));
  }

  // ---- Readiness ----

  /** Ten requests a second to ten caches, of which one never answers; how many that one is sent. */
  private static int sentToTheSlow(Fixture f, String slow, int requests) {
    int sent = 0;
    for (int i = 0; i < requests; i++) {
      f.now += 100;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(50_000 + id));
      if (slow.equals(endpoint)) {
        sent++;
        f.now += 1_000;
        f.end(id, 0, endpoint, 1_000, Result.TIMEOUT);
      } else if (endpoint != null) {
        f.end(id, 0, endpoint, 100, Result.OK);
      }
    }
    return sent;
  }

  @Test
  void aCacheThatTimesOutIsRememberedForMoreThanOneSendToIt() {
    Fixture f = new Fixture(Fixture.READ).withFleet(10);
    String slow = f.served(7);
    sentToTheSlow(f, slow, 200);
    int sent = sentToTheSlow(f, slow, 1_000);
    assertTrue(sent > 0, "it is tried again");
    assertTrue(sent < 60, "of about 100 that are its own, sent all the same: " + sent);
  }

  @Test
  void aCacheThatRefusesConnectionsIsSkippedAndTriedAgainLater() {
    Fixture f = busy(6);
    f.now += 1_000; // no cache has answered since
    long id = f.nextId();
    String primary = Fixture.sentTo(f.read(5));
    String second = Fixture.sentTo(f.end(id, 0, primary, 50, Result.CONNECT_FAILED));
    assertNotNull(second);
    assertNotEquals(primary, second);
    assertEquals(second, f.served(5));
    f.now += 10_000;
    assertEquals(primary, f.served(5));
  }

  /** Guards against a cache that refuses new connections as it is full, and passes for a dead one. */
  @Test
  void aFullCacheBesideADeadOneKeepsWhatItCanServe() {
    Fixture f = busy(6);
    String full = f.served(1);
    String dead = null;
    for (long key = 2; dead == null || dead.equals(full); key++) {
      dead = f.served(key);
    }
    Map<String, Integer> sent = new HashMap<>();
    int served = 0;
    for (int i = 0; i < 400; i++) {
      f.now += 10;
      long id = f.nextId();
      String to = Fixture.sentTo(f.read(i % 40));
      for (int attempt = 0; to != null && attempt < 3; attempt++) {
        sent.merge(i >= 200 ? to : "early", 1, Integer::sum);
        // The full one serves on the connections that it has, and refuses half of what would need another.
        boolean refused = to.equals(dead) || to.equals(full) && i % 2 == 0;
        Result result = refused ? Result.CONNECT_FAILED : Result.OK;
        List<Action> next = f.end(id, attempt, to, refused ? 1 : 10, result);
        served += refused ? 0 : 1;
        to = refused ? Fixture.sentTo(next) : null;
      }
    }
    assertTrue(served >= 390, "served of 400: " + served);
    assertTrue(sent.getOrDefault(full, 0) >= 10, "what the full one can serve: " + sent);
    assertTrue(sent.getOrDefault(dead, 0) <= 6, "the dead one is tried now and then: " + sent);
  }

  @Test
  void atMostHalfOfTheCachesAreSkipped() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    for (long key = 0; key < 60; key++) {
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(key));
      if (endpoint != null) {
        f.end(id, 0, endpoint, 1, Result.CONNECT_FAILED);
        f.balancer.handle(f.now, new RequestGone(id));
      }
    }
    Map<String, Integer> reached = new HashMap<>();
    for (long key = 100; key < 140; key++) {
      String endpoint = Fixture.sentTo(f.read(key));
      if (endpoint != null) {
        reached.merge(endpoint, 1, Integer::sum);
      }
    }
    assertTrue(reached.size() >= 3, reached.toString());
  }

  // ---- Drains and cold caches ----

  @Test
  void nothingNewGoesToADrainingCacheOrOneThatAFullListLacks() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    f.list(ListKind.CHANGES, List.of(Fixture.cache(1, EndpointState.DRAINING, 0)));
    assertFalse(placement(f).containsValue("cache-1"));
    f.list(ListKind.FULL, Fixture.fleet(3));
    assertFalse(placement(f).containsValue("cache-3"));
  }

  @Test
  void aColdCacheIsSentNoMoreThanItsPresentPart() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    f.list(ListKind.CHANGES, List.of(Fixture.cache(4, EndpointState.RUNNING, f.now)));
    long hot = 0;
    while (!"cache-4".equals(f.served(hot))) {
      hot++;
    }
    int cold = 0;
    for (int i = 0; i < 400; i++) {
      f.served(i);
      cold += "cache-4".equals(f.served(hot)) ? 1 : 0;
    }
    assertTrue(cold < 800 / 4, "sent to the cold cache: " + cold);
  }

  private static int sentToCold(Fixture f, int requests, double apart, double elapsed) {
    int cold = 0;
    for (int i = 0; i < requests; i++) {
      f.now += apart;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(20_000 + i));
      cold += "cache-3".equals(endpoint) ? 1 : 0;
      f.end(id, 0, endpoint, elapsed, Result.OK);
    }
    return cold;
  }

  /** One cold cache beside three warm ones, at a balancer that may know its rate or nothing yet. */
  private static Fixture besideAColdCache(int served, double elapsed) {
    Fixture f = new Fixture(List.of(new Balancer.Tenant(100)), Fixture.READ).withFleet(3);
    f.now = 10_000;
    sentToCold(f, served, 20, elapsed);
    f.list(ListKind.CHANGES, List.of(Fixture.cache(3, EndpointState.RUNNING, f.now - 1_000)));
    return f;
  }

  @Test
  void aBalancerThatHasJustStartedDoesNotStarveAColdCacheOnceEvidenceComes() {
    Fixture f = besideAColdCache(0, 0);
    int cold = 0;
    for (long key = 0; key < 100; key++) {
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(key));
      cold += "cache-3".equals(endpoint) ? 1 : 0;
      f.balancer.handle(f.now, new RequestGone(id));
      f.end(id, 0, endpoint, 1, Result.CANCELLED); // no evidence yet
    }
    assertTrue(cold > 0, "without evidence");
    assertTrue(cold < 100 / 4, "without evidence: " + cold);
    f.now += 1_000;
    cold = sentToCold(f, 200, 20, 20);
    assertTrue(cold >= 200 / 16, "sent to the cold cache once its rate was known: " + cold);
  }

  @Test
  void aColdCacheIsSentItsPartThoughAFleetThatIsNotIdleAnswersSlowly() {
    Fixture f = besideAColdCache(100, 250);
    int cold = sentToCold(f, 100, 20, 250);
    assertTrue(cold >= 100 / 16, "sent to the cold cache: " + cold);
  }

  @Test
  void cachesThatAreAllEmptyAndColdAreNotStarvedOfTheMissesThatFillThem() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    for (long key = 0; key < 2_000; key++) {
      f.served(key);
      f.now += 10;
    }
    List<Endpoint> cold = IntStream.range(0, 4)
        .mapToObj(i -> Fixture.cache(i, EndpointState.RUNNING, f.now)).toList();
    f.list(ListKind.CHANGES, cold);
    int sent = 0;
    for (long key = 0; key < 1_500; key++) {
      long id = f.nextId();
      String cache = Fixture.sentTo(f.read(key));
      if (cache != null) {
        sent++;
        if ("origin".equals(Fixture.sentTo(f.end(id, 0, cache, 1, Result.MISS)))) {
          f.end(id, 1, "origin", 5, Result.OK);
        }
      }
      f.now += 2;
    }
    assertTrue(sent > 100, "sent: " + sent);
    assertTrue(sent < 500, "sent: " + sent);
  }

  // ---- Origin ----

  @Test
  void aMissGoesToTheOrigin() {
    Fixture f = busy(4);
    String cache = f.served(5);
    long id = f.nextId();
    f.read(5);
    assertEquals("origin", Fixture.sentTo(f.end(id, 0, cache, 2, Result.MISS)));
  }

  @Test
  void aFailedFetchIsNotRepeatedAtAnOriginThatHasSinceBeenToldToDrain() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    long id = f.nextId();
    assertEquals("origin", Fixture.sentTo(f.request(0, 0, 5, true)));
    f.list(ListKind.CHANGES,
        List.of(new Endpoint("origin", 0, Fixture.ORIGIN, 9, EndpointState.DRAINING, 1, 0)));
    assertTrue(Fixture.has(f.end(id, 0, "origin", 5, Result.ERROR), Refuse.class));
  }

  @Test
  void aWriteGoesStraightToTheOrigin() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    assertEquals("origin", Fixture.sentTo(f.request(0, 0, 5, true)));
  }

  // ---- At full size ----

  @Test
  void aListThatMovesNoPointsCostsNoRing() {
    Fixture f = new Fixture(Fixture.READ).withFleet(8);
    Logic logic = (Logic) f.balancer;
    int before = logic.facts.points.changes();
    f.list(ListKind.FULL, Fixture.fleet(8));
    f.list(ListKind.CHANGES, List.of(Fixture.cache(3)));
    assertEquals(before, logic.facts.points.changes());
    f.list(ListKind.CHANGES, List.of(Fixture.cache(3, EndpointState.DRAINING, 0)));
    assertEquals(before + 1, logic.facts.points.changes());
  }

  @Test
  void aRingChangedInAnyOrderEqualsOneBuiltFromScratch() {
    java.util.Random random = new java.util.Random(3);
    Fixture changed = new Fixture(Fixture.READ).withFleet(12);
    for (int i = 0; i < 60; i++) {
      EndpointState state = random.nextInt(3) == 0 ? EndpointState.GONE : EndpointState.RUNNING;
      changed.list(ListKind.CHANGES, List.of(Fixture.cache(random.nextInt(20), state, 0)));
    }
    changed.list(ListKind.FULL, Fixture.fleet(9));
    assertEquals(placement(new Fixture(Fixture.READ).withFleet(9)), placement(changed));
  }

  @Test
  void aKeyHotterThanACacheIsServedByAsManyAsItFills() {
    Fixture f = busy(10);
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 600; i++) {
      served.merge(f.served(5), 1, Integer::sum);
      f.served(2_000 + i);
    }
    assertTrue(served.size() >= 5, served.toString());
  }

  @Test
  void aBrokenSubscriptionIsAskedForAgainAtAScatteredTime() {
    Balancer b = new Logic(Fixture.settings(List.of(), false, Fixture.READ));
    b.handle(0, new ListReceived(ListKind.REMEMBERED, Fixture.fleet(3)));
    b.handle(10, new ListReceived(ListKind.CHANGES, List.of()));
    SetTimer timer = (SetTimer) b.handle(9_000, new ListReceived(ListKind.UNAVAILABLE, List.of())).get(0);
    assertTrue(timer.delay() <= 10_000);
    double due = 9_000 + timer.delay();
    assertTrue(Fixture.has(b.handle(due, new TimerFired(timer.token())), FollowList.class));
  }

  @Test
  void whatNeverRanDoesNotUseUpTheRetries() {
    everyFirstAttemptEnds(Result.CONNECT_FAILED);
    everyFirstAttemptEnds(Result.FULL);
  }

  private static void everyFirstAttemptEnds(Result result) {
    Fixture f = busy(6);
    for (long key = 0; key < 20; key++) {
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(key));
      String next = Fixture.sentTo(f.end(id, 0, endpoint, 1, result));
      assertNotNull(next, result + ", request " + key);
      f.end(id, 1, next, 10, Result.OK);
      f.now += 2_000;
    }
  }

  @Test
  void anUnknownCacheIsProbedAndALateProbeSpillsToTheNext() {
    Fixture f = new Fixture(true, Fixture.READ).withFleet(6);
    List<Action> asked = f.read(5);
    assertNull(Fixture.sentTo(asked));
    String primary = ((Balancer.Probe) asked.get(0)).endpoint();
    long first = f.nextId() - 1;
    List<Action> answered = f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.OK, 2));
    assertEquals(primary, Fixture.sentTo(answered));
    f.end(first, 0, primary, 10, Result.OK);
    long second = f.nextId();
    f.read(5);
    f.now += 50;
    String next = Fixture.sentTo(f.balancer.handle(f.now, new TimerFired(second)));
    assertNotNull(next);
    assertNotEquals(primary, next);
    assertNull(Fixture.sentTo(f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.OK, 60))));
  }

  @Test
  void aProbeIsSentOnlyWhereBadOutcomesMakeItWorthItsPrice() {
    Balancer.Prices prices = new Balancer.Prices(0, 0, 0.08, 0);
    Fixture f = new Fixture(Fixture.settings(List.of(), true, true, prices, Fixture.READ)).withFleet(40);
    for (long key = 0; key < 20; key++) {
      long id = f.nextId();
      List<Action> actions = f.read(key);
      assertFalse(Fixture.has(actions, Balancer.Probe.class), "while caches do well, " + key);
      f.end(id, 0, Fixture.sentTo(actions), 10, key == 12 ? Result.TIMEOUT : Result.OK);
    }
    for (long key = 100; key < 112; key++) {
      long id = f.nextId();
      List<Action> actions = f.read(key);
      String endpoint = Fixture.sentTo(actions);
      if (endpoint != null) {
        f.end(id, 0, endpoint, 1_000, Result.TIMEOUT);
      }
    }
    assertTrue(IntStream.range(200, 220).anyMatch(key -> Fixture.has(f.read(key), Balancer.Probe.class)),
        "once many attempts come to nothing");
  }

  @Test
  void aProbeIsNotWaitedForBeyondTheClientsTime() {
    Fixture f = new Fixture(true, Fixture.READ).withFleet(6);
    Balancer.RequestReceived last = new Balancer.RequestReceived(1, f.now + 20, 0, 0, 5, false);
    List<Action> asked = f.balancer.handle(f.now, last);
    assertTrue(asked.stream().anyMatch(a -> a instanceof SetTimer t && t.delay() < 20));
  }

  /** One of so many balancers before four caches; a hundred connections a cache cost what a new one does. */
  private static Fixture priced(int balancers) {
    Balancer.Prices prices = new Balancer.Prices(0.05, 0.05, 0, 0);
    Settings s = Fixture.settings(List.of(), true, false, prices, Fixture.READ);
    return new Fixture(new Settings(s.seed(), balancers, s.zone(), s.listPushed(), s.weightSource(),
        s.originKind(), s.overShareWorth(), s.limits(), s.rules(), s.prices(), s.classes(), s.tenants()))
        .withFleet(4);
  }

  /** Serves a read of each key, one in so many ms; how often connections to each cache were closed. */
  private static Map<String, Integer> closes(Fixture f, double gap, LongStream keys) {
    Map<String, Integer> closes = new HashMap<>();
    keys.forEach(key -> {
      f.now += gap;
      long id = f.nextId();
      List<Action> actions = new ArrayList<>(f.read(key));
      actions.addAll(f.end(id, 0, Fixture.sentTo(actions), 10, Result.OK));
      actions.stream().filter(CloseIdle.class::isInstance)
          .forEach(a -> closes.merge(((CloseIdle) a).endpoint(), 1, Integer::sum));
    });
    return closes;
  }

  /** The same for ever other keys, over all caches. */
  private static int closes(int balancers, double gap) {
    return closes(priced(balancers), gap, LongStream.range(0, 200)).values().stream().mapToInt(n -> n).sum();
  }

  /** However often one balancer sends: the more of them there are, the more connections a cache holds. */
  @Test
  void connectionsAreHeldWhereTheyAreUsedOftenForTheLoadOfTheFleet() {
    assertTrue(closes(20, 100) < 5);
    assertTrue(closes(20, 1_000) < 5);
    assertTrue(closes(400, 100) > 150);
    assertTrue(closes(400, 1_000) > 150);
  }

  @Test
  void aConnectionIsClosedOnceOthersAreUsedInItsPlace() {
    Fixture lookUp = priced(60);
    String endpoint = lookUp.served(5);
    List<Long> keys = LongStream.range(10, 400).filter(k -> !lookUp.served(k).equals(endpoint)).boxed()
        .toList();
    Fixture f = priced(60);
    assertEquals(endpoint, f.served(5));
    assertEquals(1, closes(f, 100, LongStream.range(0, 2_000).map(i -> keys.get((int) i % keys.size())))
        .get(endpoint));
  }

  /** Guards against attempts that are all gone within a moment, and against a request parked till its end. */
  @Test
  void anOriginThatRefusesAConnectionIsAskedAgainAfterAPauseOrNotAtAll() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    long id = f.nextId();
    String cache = Fixture.sentTo(f.read(1));
    assertEquals("origin", Fixture.sentTo(f.end(id, 0, cache, 10, Result.MISS)));
    f.now += 100; // which the origin is now known to take
    List<Action> actions = f.end(id, 1, "origin", 100, Result.CONNECT_FAILED);
    assertNull(Fixture.sentTo(actions));
    double pause = actions.stream().filter(SetTimer.class::isInstance).map(a -> ((SetTimer) a).delay())
        .findFirst().orElseThrow();
    assertTrue(pause >= 0 && pause <= 400, "pause: " + pause);
    f.now += pause;
    assertEquals("origin", Fixture.sentTo(f.balancer.handle(f.now, new TimerFired(id))));
    f.end(id, 2, "origin", 20, Result.OK);
    long late = f.nextId();
    cache = Fixture.sentTo(f.read(2));
    assertEquals("origin", Fixture.sentTo(f.end(late, 0, cache, 10, Result.MISS)));
    f.now += 499.99;
    assertTrue(Fixture.has(f.end(late, 1, "origin", 480, Result.CONNECT_FAILED), Refuse.class));
  }

  @Test
  void aFullQueueIsNotTakenForAQuickCache() {
    Fixture f = busy(6);
    String primary = f.served(5);
    f.now += 3_000;
    for (long key = 1_000; key < 1_040; key++) {
      f.served(key);
    }
    for (int i = 0; i < 40; i++) {
      long id = f.nextId();
      if (primary.equals(Fixture.sentTo(f.read(5)))) {
        f.end(id, 0, primary, 1, Result.FULL);
        f.balancer.handle(f.now, new RequestGone(id));
      }
    }
    assertNotEquals(primary, f.served(5));
  }

  @Test
  void aCacheWhoseProbeFailsIsSkippedForAWhile() {
    Fixture f = new Fixture(true, Fixture.READ).withFleet(6);
    String primary = ((Balancer.Probe) f.read(5).get(0)).endpoint();
    String next = Fixture.sentTo(
        f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.TIMEOUT, 50)));
    assertNotNull(next);
    assertNotEquals(primary, next);
    f.end(0, 0, next, 10, Result.OK);
    assertFalse(probed(f).contains(primary));
    f.now += 20_000;
    assertTrue(probed(f).contains(primary));
  }

  private static List<String> probed(Fixture f) {
    return IntStream.range(0, 100).mapToObj(i -> f.read(100 + i)).flatMap(List::stream)
        .filter(Balancer.Probe.class::isInstance).map(a -> ((Balancer.Probe) a).endpoint()).toList();
  }

  /** What many balancers together send a cache in its first window, as a part of all they send. */
  private static double partOfACold(int instances) {
    long cold = 0;
    int all = 4_000;
    List<Fixture> fleet = IntStream.range(0, instances).mapToObj(i -> busy(10)).toList();
    for (Fixture f : fleet) {
      f.now += 10_000;
      f.list(ListKind.CHANGES, List.of(Fixture.cache(3, EndpointState.RUNNING, f.now)));
    }
    for (int i = 0; i < all; i++) {
      Fixture f = fleet.get(i % instances);
      f.now += instances * 0.25;
      cold += "cache-3".equals(f.served(5_000 + i)) ? 1 : 0;
    }
    return (double) cold / all;
  }

  @Test
  void aColdCacheIsSentItsPresentPartByAnyNumberOfBalancersTogether() {
    for (int instances : new int[] {1, 3, 400}) {
      double part = partOfACold(instances);
      assertTrue(part > 0 && part < 0.1 * 0.25 * 3, instances + " balancers: " + part);
    }
  }

  /** How many of a tenant's requests in a row are refused, where there is room for shares only. */
  private static long refusedInARow(int requests) {
    Balancer.Tenant tenant = new Balancer.Tenant(1);
    Fixture f = new Fixture(List.of(tenant, tenant, tenant), Fixture.READ).withFleet(6);
    long refused = 0;
    for (int i = 0; i < 60 + requests; i++) {
      f.now += 50;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.request(0, i < 60 ? i % 3 : 0, i, false));
      if (endpoint != null) {
        f.end(id, 0, endpoint, 160, Result.OK);
      } else if (i >= 60) {
        refused++;
      }
    }
    return refused;
  }

  @Test
  void aChanceHandfulOfATenantIsNoSurgeButASurgeIs() {
    assertEquals(0, refusedInARow(4));
    assertTrue(refusedInARow(60) > 10, "refused: " + refusedInARow(60));
  }

  // ---- Effects ----

  @Test
  void repeatsAndRefusalsFollowTheEffectOfTheClass() {
    for (Idempotency idempotency : Idempotency.values()) {
      for (Result result : Result.values()) {
        if (result == Result.OK || result == Result.MISS || result == Result.NOT_SENT) {
          continue;
        }
        Fixture f = new Fixture(Fixture.type(idempotency, DedupGroup.CELL)).withFleet(6);
        long id = f.nextId();
        String endpoint = Fixture.sentTo(f.request(0, 0, 5, true));
        List<Action> answer = f.end(id, 0, endpoint, 5, result);
        if (result == Result.CONNECT_FAILED) { // asked again after a pause
          f.now += 50;
          answer = f.balancer.handle(f.now, new TimerFired(id));
        }
        boolean mayRefuse = result.neverRan || idempotency == Idempotency.SAFE;
        boolean mayRepeat = mayRefuse || idempotency == Idempotency.KEYED;
        String situation = idempotency + " after " + result + ": " + answer;
        assertTrue(mayRefuse || !Fixture.has(answer, Refuse.class), situation);
        assertEquals(mayRepeat, Fixture.sentTo(answer) != null, situation);
        assertEquals(!mayRepeat, Fixture.has(answer, Fail.class), situation);
      }
    }
  }

  @Test
  void aKeyedRequestIsNotRepeatedAfterItsWindow() {
    Balancer.RequestClass keyed =
        new Balancer.RequestClass(Idempotency.KEYED, DedupGroup.ALL, 100, 5_000, 9_000, 1, 0);
    Fixture f = new Fixture(keyed).withFleet(4);
    long id = f.nextId();
    f.request(0, 0, 5, true);
    f.now += 100;
    List<Action> answer = f.end(id, 0, "origin", 100, Result.ERROR);
    assertNull(Fixture.sentTo(answer));
    assertTrue(Fixture.has(answer, Refuse.class));
  }

  @Test
  void aRequestWhoseTimeHadRunOutBeforeItWasSentIsAnsweredAtOnce() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    long id = f.nextId();
    String endpoint = Fixture.sentTo(f.read(5));
    assertTrue(Fixture.has(f.end(id, 0, endpoint, 0, Result.NOT_SENT), Refuse.class));
  }

  @Test
  void noAttemptIsMadeBeyondTheLimit() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    long id = f.nextId();
    List<Action> answer = f.read(5);
    int attempts = 0;
    while (Fixture.sentTo(answer) != null) {
      answer = f.end(id, attempts++, Fixture.sentTo(answer), 1, Result.MISS);
    }
    assertTrue(attempts <= 3, "attempts: " + attempts);
    assertTrue(Fixture.has(answer, Refuse.class));
  }

  // ---- List following ----

  @Test
  void aListThatMustBeAskedForIsSubscribedAndAskedAgainAfterARefusal() {
    Balancer b = new Logic(Fixture.settings(List.of(), false, Fixture.READ));
    assertTrue(Fixture.has(b.handle(0, new ListReceived(ListKind.REMEMBERED, Fixture.fleet(3))),
        FollowList.class));
    List<Action> refused = b.handle(10, new ListReceived(ListKind.UNAVAILABLE, List.of()));
    SetTimer timer = (SetTimer) refused.get(0);
    assertTrue(timer.delay() < 10_000);
    assertTrue(Fixture.has(b.handle(10 + timer.delay(), new TimerFired(timer.token())), FollowList.class));
  }

  @Test
  void aSubscriptionThatIsNotAnsweredIsAskedForAgainAndAnAnsweredOneIsNot() {
    Balancer b = new Logic(Fixture.settings(List.of(), false, Fixture.READ));
    List<Action> asked = b.handle(0, new ListReceived(ListKind.REMEMBERED, Fixture.fleet(3)));
    SetTimer timer = (SetTimer) asked.get(1);
    assertTrue(timer.delay() < 10_000);
    assertTrue(Fixture.has(b.handle(timer.delay(), new TimerFired(timer.token())), FollowList.class));
    b.handle(timer.delay() + 10, new ListReceived(ListKind.CHANGES, List.of()));
    assertEquals(List.of(), b.handle(2 * timer.delay(), new TimerFired(timer.token())));
  }

  @Test
  void aStaleListAfterARestartIsMendedByWhatComesAndAReplacementTakesItsPlace() {
    Fixture f = new Fixture(Fixture.READ);
    f.list(ListKind.REMEMBERED, Fixture.fleet(4));
    f.list(ListKind.CHANGES, List.of(Fixture.cache(2, EndpointState.GONE, 0), Fixture.cache(7)));
    Map<Long, String> placed = placement(f);
    assertFalse(placed.containsValue("cache-2"));
    assertTrue(placed.containsValue("cache-7"));
  }

  @Test
  void aCacheThatIsSeenWithAFreshStartIsColdAndNoLongerSkipped() {
    Fixture f = new Fixture(Fixture.READ).withFleet(4);
    Map<Long, String> before = placement(f);
    long own =
        before.keySet().stream().filter(k -> before.get(k).equals("cache-1")).findFirst().orElseThrow();
    f.now += 3_000; // it has not been heard of since
    long id = f.nextId();
    f.read(own);
    f.end(id, 0, "cache-1", 1, Result.RESET);
    f.balancer.handle(f.now, new RequestGone(id));
    assertNotEquals("cache-1", f.served(own));
    f.list(ListKind.CHANGES, List.of(Fixture.cache(1, EndpointState.RUNNING, f.now)));
    Map<Long, String> after = placement(f);
    long share = after.values().stream().filter("cache-1"::equals).count();
    assertTrue(share > 0 && share < before.values().stream().filter("cache-1"::equals).count() / 2,
        "share: " + share);
  }

  @Test
  void anEmptyFleetRefusesInsteadOfFailing() {
    Fixture f = new Fixture(Fixture.READ);
    f.list(ListKind.REMEMBERED, List.of());
    assertTrue(Fixture.has(f.read(5), Refuse.class));
    assertTrue(Fixture.has(f.read(-1), Refuse.class));
  }

  @Test
  void zeroWeightsDrainingCachesAndAMissingOriginGiveOrderlyAnswers() {
    Fixture f = new Fixture(Fixture.READ);
    f.list(ListKind.FULL, List.of(new Endpoint("idle", 0, Fixture.CACHE, 0, EndpointState.RUNNING, 0, 0)));
    long id = f.nextId();
    assertEquals("idle", Fixture.sentTo(f.read(5)));
    assertTrue(Fixture.has(f.end(id, 0, "idle", 1, Result.MISS), Refuse.class));
    assertTrue(Fixture.has(f.request(0, 0, 5, true), Refuse.class));
    f.list(ListKind.FULL, List.of(Fixture.cache(1, EndpointState.DRAINING, 0)));
    assertTrue(Fixture.has(f.read(5), Refuse.class));
  }

  /** Guards against refusals that uphold themselves: they end the evidence on which they rest. */
  @Test
  void whatLookedSlowIsTriedAgainSoonOnceNothingIsAsked() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    Map<Long, String> out = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(i));
      if (endpoint != null) {
        out.put(id, endpoint);
      }
    }
    f.now += 900; // this balancer itself was late
    out.forEach((id, endpoint) -> f.end(id, 0, endpoint, 900, Result.OK));
    assertTrue(out.size() > 50, "sent: " + out.size());
    assertNull(Fixture.sentTo(f.read(100)), "caches look slow");
    int refused = 0;
    while (Fixture.sentTo(f.read(101 + refused)) == null) {
      f.now += 50;
      refused++;
    }
    assertTrue(refused * 50 <= 1500, "refused for " + refused * 50 + " ms");
  }

  /** Guards against hosts that are gone and stay in memory, as new ones come under new names all day. */
  @Test
  void aHostThatIsGoneLeavesNothingBehind() {
    Fixture f = new Fixture(Fixture.READ).withFleet(3);
    String endpoint = f.served(1);
    Endpoint host = Fixture.fleet(3).stream().filter(e -> e.id().equals(endpoint)).findFirst().orElseThrow();
    List<Action> actions = f.list(ListKind.CHANGES, List.of(host.gone()));
    assertTrue(actions.contains(new CloseIdle(endpoint)), actions.toString());
  }

  /** Guards against a cache that is skipped, and its keys missed elsewhere, as one connection broke. */
  @Test
  void aCacheThatAnswersOthersIsNotSkippedForABrokenConnection() {
    Fixture f = busy(4);
    String own = f.served(1);
    f.now += 10;
    long id = f.nextId();
    f.read(1);
    f.end(id, 0, own, 1, Result.RESET);
    f.balancer.handle(f.now, new RequestGone(id));
    assertEquals(own, f.served(1));
  }

  /** Guards against a cache that looks jammed as long as one attempt is stuck on a silent connection. */
  @Test
  void anAttemptThatIsStuckAloneSaysNothingOfItsCache() {
    Fixture f = new Fixture(Fixture.READ).withFleet(1);
    f.read(1); // never answered
    for (int i = 0; i < 80; i++) {
      f.now += 10;
      assertEquals("cache-0", f.served(2));
    }
  }
}

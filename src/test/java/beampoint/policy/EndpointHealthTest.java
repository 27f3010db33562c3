package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Action;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.Result;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** When a cache counts as slow, full or dead, and when it is skipped and tried again. */
class EndpointHealthTest {

  @Test
  void aBalancerWithLittleTrafficAvoidsACacheAfterOneTimeout() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(2);
    long id = f.nextId();
    String overloaded = BalancerFixture.sentTo(f.read(5));
    f.now += 1_000;
    f.endAttempt(id, 0, overloaded, 1_000, Result.TIMEOUT);
    assertNotEquals(overloaded, f.serve(5));
    f.now += 5_000;
    assertEquals(overloaded, f.serve(5));
  }

  /** The number of requests sent to a cache that never answers, at 10 requests per second to ten caches. */
  private static int sentToUnresponsive(BalancerFixture f, String slow, int requests) {
    int sent = 0;
    for (int i = 0; i < requests; i++) {
      f.now += 100;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(50_000 + id));
      if (slow.equals(endpoint)) {
        sent++;
        f.now += 1_000;
        f.endAttempt(id, 0, endpoint, 1_000, Result.TIMEOUT);
      } else if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 100, Result.OK);
      }
    }
    return sent;
  }

  @Test
  void aTimeoutIsRememberedForMoreThanOneSendToItsCache() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(10);
    String slow = f.serve(7);
    sentToUnresponsive(f, slow, 200);
    int sent = sentToUnresponsive(f, slow, 1_000);
    assertTrue(sent > 0, "it is tried again");
    assertTrue(sent < 60, "sent to the slow cache, of about 100 requests for its keys: " + sent);
  }

  @Test
  void aCacheThatRefusesConnectionsIsSkippedAndTriedAgainLater() {
    BalancerFixture f = BalancerFixture.withTraffic(6);
    f.now += 1_000; // without an answer from any cache
    long id = f.nextId();
    String primary = BalancerFixture.sentTo(f.read(5));
    String second = BalancerFixture.sentTo(f.endAttempt(id, 0, primary, 50, Result.CONNECT_FAILED));
    assertNotNull(second);
    assertNotEquals(primary, second);
    assertEquals(second, f.serve(5));
    f.now += 10_000;
    assertEquals(primary, f.serve(5));
  }

  /** A cache that refuses new connections only because it is full must not count as dead. */
  @Test
  void aFullCacheIsSentWhatItCanServeWhileADeadOneIsSkipped() {
    BalancerFixture f = BalancerFixture.withTraffic(6);
    String full = f.serve(1);
    String dead = null;
    for (long key = 2; dead == null || dead.equals(full); key++) {
      dead = f.serve(key);
    }
    Map<String, Integer> sent = new HashMap<>();
    int served = 0;
    for (int i = 0; i < 400; i++) {
      f.now += 10;
      long id = f.nextId();
      String to = BalancerFixture.sentTo(f.read(i % 40));
      for (int attempt = 0; to != null && attempt < 3; attempt++) {
        sent.merge(i >= 200 ? to : "early", 1, Integer::sum);
        // The full one serves on its open connections; half of the requests need a new one, which it refuses.
        boolean refused = to.equals(dead) || to.equals(full) && i % 2 == 0;
        Result result = refused ? Result.CONNECT_FAILED : Result.OK;
        List<Action> next = f.endAttempt(id, attempt, to, refused ? 1 : 10, result);
        served += refused ? 0 : 1;
        to = refused ? BalancerFixture.sentTo(next) : null;
      }
    }
    assertTrue(served >= 390, "served of 400: " + served);
    assertTrue(sent.getOrDefault(full, 0) >= 10, "to the full cache: " + sent);
    assertTrue(sent.getOrDefault(dead, 0) <= 6, "to the dead cache: " + sent);
  }

  @Test
  void atMostHalfOfTheCachesAreEjected() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    for (long key = 0; key < 60; key++) {
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(key));
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 1, Result.CONNECT_FAILED);
        f.balancer.handle(f.now, new RequestGone(id));
      }
    }
    Map<String, Integer> reached = new HashMap<>();
    for (long key = 100; key < 140; key++) {
      String endpoint = BalancerFixture.sentTo(f.read(key));
      if (endpoint != null) {
        reached.merge(endpoint, 1, Integer::sum);
      }
    }
    assertTrue(reached.size() >= 3, reached.toString());
  }

  @Test
  void aRejectionByAFullQueueDoesNotCountAsAFastAnswer() {
    BalancerFixture f = BalancerFixture.withTraffic(6);
    String primary = f.serve(5);
    f.now += 3_000;
    for (long key = 1_000; key < 1_040; key++) {
      f.serve(key);
    }
    for (int i = 0; i < 40; i++) {
      long id = f.nextId();
      if (primary.equals(BalancerFixture.sentTo(f.read(5)))) {
        f.endAttempt(id, 0, primary, 1, Result.FULL);
        f.balancer.handle(f.now, new RequestGone(id));
      }
    }
    assertNotEquals(primary, f.serve(5));
  }

  /** Refusals stop further observations; the observations behind them must expire, or they would go on. */
  @Test
  void slowCachesAreTriedAgainSoonAfterTheLastAttempt() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    Map<Long, String> out = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(i));
      if (endpoint != null) {
        out.put(id, endpoint);
      }
    }
    f.now += 900; // of delay in this balancer itself
    out.forEach((id, endpoint) -> f.endAttempt(id, 0, endpoint, 900, Result.OK));
    assertTrue(out.size() > 50, "sent: " + out.size());
    assertNull(BalancerFixture.sentTo(f.read(100)), "the caches look slow");
    int refused = 0;
    while (BalancerFixture.sentTo(f.read(101 + refused)) == null) {
      f.now += 50;
      refused++;
    }
    assertTrue(refused * 50 <= 1500, "refused for " + refused * 50 + " ms");
  }

  /** Ejecting a cache for one broken connection would make its keys miss at the other caches. */
  @Test
  void aCacheThatAnswersOtherRequestsIsNotEjectedForABrokenConnection() {
    BalancerFixture f = BalancerFixture.withTraffic(4);
    String own = f.serve(1);
    f.now += 10;
    long id = f.nextId();
    f.read(1);
    f.endAttempt(id, 0, own, 1, Result.RESET);
    f.balancer.handle(f.now, new RequestGone(id));
    assertEquals(own, f.serve(1));
  }

  /** A cache must not look overloaded for as long as one attempt is stuck on a dead connection. */
  @Test
  void oneStuckAttemptDoesNotCountAgainstItsCache() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(1);
    f.read(1); // never answered
    for (int i = 0; i < 80; i++) {
      f.now += 10;
      assertEquals("cache-0", f.serve(2));
    }
  }
}

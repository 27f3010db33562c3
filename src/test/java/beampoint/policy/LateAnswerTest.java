package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How a balancer avoids and handles answers that come too late to be worth anything. */
class LateAnswerTest {

  private static final RequestClass LATE_WORTH =
      new RequestClass(Idempotency.SAFE, DedupGroup.ALL, 2_000, 500, 1_500, 1, 0.3);

  /** The timeout of the attempt that was just started; 0 means until the client gives up. */
  private static double timeout(List<Action> actions) {
    return actions.stream().filter(Send.class::isInstance).map(a -> ((Send) a).timeout()).findFirst()
        .orElseThrow();
  }

  /** Caches must not go on executing reads whose answers nobody can use any more. */
  @Test
  void aReadTimesOutOnceItsAnswerEarnsNothing() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ, LATE_WORTH).withFleet(6);
    assertEquals(500, timeout(f.read(5)));
    assertEquals(1_000, timeout(f.request(1, 0, 5, false)), "a late answer earns a part");
    assertEquals(200, timeout(f.balancer.handle(f.now, new RequestReceived(99, f.now + 200, 0, 0, 5, false))),
        "the client gives up before the target time");
  }

  @Test
  void aFurtherAttemptHasTheTimeThatIsLeft() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    long id = f.nextId();
    String first = BalancerFixture.sentTo(f.read(5));
    f.now += 120;
    assertEquals(380, timeout(f.endAttempt(id, 0, first, 120, Result.MISS)));
  }

  /** A client must learn the outcome of its write, even if it is known late. */
  @Test
  void aWriteIsAwaitedUntilTheClientGivesUp() {
    for (Idempotency idempotency : List.of(Idempotency.KEYED, Idempotency.UNSAFE)) {
      BalancerFixture f =
          new BalancerFixture(BalancerFixture.requestClass(idempotency, DedupGroup.ALL)).withFleet(6);
      assertEquals(0, timeout(f.request(0, 0, 5, true)), idempotency.toString());
    }
  }

  /** The refusal carries retry advice. */
  @Test
  void aLateReadIsRefusedAtItsTargetTimeAndNotRetried() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    long id = f.nextId();
    String endpoint = BalancerFixture.sentTo(f.read(5));
    f.now += 500;
    assertTrue(f.endAttempt(id, 0, endpoint, 500, Result.TIMEOUT)
        .contains(new Balancer.Refuse(id, 400, Balancer.GiveUpReason.TIME_OVER)));
  }

  /**
   * Number of refused reads among the last 400 of 600, at ten caches, where every {@code lateEvery}-th read
   * times out. Caches answer in 0.46 of the target time, or miss, and then the origin answers in 0.6 of it.
   */
  private static int refused(int lateEvery, boolean misses) {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(10);
    int refused = 0;
    for (int i = 0; i < 600; i++) {
      boolean late = i % lateEvery == lateEvery - 1;
      f.now += 10;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(1_000 + i));
      int attempt = 0;
      for (; misses && endpoint != null && !endpoint.equals("origin"); attempt++) {
        f.now += 10;
        endpoint = BalancerFixture.sentTo(f.endAttempt(id, attempt, endpoint, 10, Result.MISS));
      }
      refused += endpoint == null && i >= 200 ? 1 : 0;
      if (endpoint != null) {
        double left = 500 - 10 * attempt;
        f.now += late ? left : 0;
        f.endAttempt(id, attempt, endpoint, late ? left : misses ? 300 : 230,
            late ? Result.TIMEOUT : Result.OK);
      }
    }
    return refused;
  }

  /**
   * Overload must not persist because only the answers that come in time are measured while many come late.
   */
  @Test
  void fewerReadsAreAdmittedWhereManyTimeOut() {
    assertEquals(0, refused(1_000, false));
    assertEquals(0, refused(20, false));
    assertTrue(refused(3, false) > 40, "refused: " + refused(3, false));
  }

  /** The origin must not be kept busy with fetches for which no client waits any more. */
  @Test
  void fewerReadsAreFetchedWhereManyFetchesTimeOut() {
    assertEquals(0, refused(1_000, true));
    assertEquals(0, refused(20, true));
    assertTrue(refused(3, true) > 40, "refused: " + refused(3, true));
  }

  /** Refusals must not persist for lack of new observations: late answers expire within seconds. */
  @Test
  void timeoutsExpireSoonWhileAllRequestsAreRefused() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(10);
    for (int i = 0; i < 100; i++) {
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(1_000 + i));
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 500, Result.TIMEOUT);
      }
    }
    f.now += 20_000;
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      f.now += 10;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(2_000 + i));
      sent += endpoint == null ? 0 : 1;
      f.endAttempt(id, 0, endpoint, 175, Result.OK);
    }
    assertEquals(20, sent);
  }

  /** A few caches that do not answer must not stop the traffic to all the others. */
  @Test
  void responsiveCachesServeTheTrafficWhileAFifthOfTheFleetDoesNotAnswer() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(10);
    Map<Long, String> open = new HashMap<>();
    int refused = 0;
    for (int i = 0; i < 3_000; i++) {
      f.now += 5;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(1_000 + i));
      refused += endpoint == null ? 1 : 0;
      if (endpoint != null && (endpoint.equals("cache-1") || endpoint.equals("cache-2"))) {
        open.put(id, endpoint);
      } else if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 40, Result.OK);
      }
      String late = open.remove(id - 100);
      if (late != null) {
        f.endAttempt(id - 100, 0, late, 500, Result.TIMEOUT);
      }
    }
    assertTrue(refused < 90, "refused: " + refused);
  }

  /**
   * Sends 400 requests with 1 s left, which the caches serve in {@code elapsedMs} each. If
   * {@code clientsMark}, one request marked as a retry follows. Returns true if a last request is served,
   * which has {@code timeLeftMs} left and is marked as a retry if {@code markedAsRetry}.
   */
  private static boolean serves(BalancerFixture f, int requestClass, double timeLeftMs, boolean markedAsRetry,
      double elapsedMs,
      boolean clientsMark) {
    for (int i = 0; i < 400; i++) {
      f.now += 10;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.request(i % 2, 0, 1_000 + i, false));
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, elapsedMs, Result.OK);
      }
    }
    if (clientsMark) {
      f.balancer.handle(f.now, new RequestReceived(98_000, f.now + 1_000, 0, 0, 6, false, true));
    }
    return BalancerFixture.sentTo(f.balancer.handle(f.now,
        new RequestReceived(99_000, f.now + timeLeftMs, 0, requestClass, 5, false, markedAsRetry))) != null;
  }

  private static BalancerFixture twoClasses() {
    return new BalancerFixture(BalancerFixture.READ, LATE_WORTH).withFleet(10);
  }

  /** Caches must not be kept busy with retries of refused requests that can't earn anything any more. */
  @Test
  void aRetryAfterTheTargetTimeHasLowPriorityAtBusyCaches() {
    assertFalse(serves(twoClasses(), 0, 400, false, 130, false));
    assertTrue(serves(twoClasses(), 0, 400, false, 20, false), "caches are not busy");
    assertTrue(serves(twoClasses(), 0, 1_000, false, 130, false), "sent for the first time");
    assertTrue(serves(twoClasses(), 0, 1_400, false, 130, false), "a client that waits longer than others");
    assertTrue(serves(twoClasses(), 1, 400, false, 130, false), "a late answer earns a part");
  }

  /**
   * If clients mark their retries, an unmarked request with little time left must not be taken for a retry.
   */
  @Test
  void whereClientsMarkRetriesOnlyMarkedRequestsHaveLowPriority() {
    assertFalse(serves(twoClasses(), 0, 400, true, 130, true));
    assertTrue(serves(twoClasses(), 0, 400, false, 130, true));
    assertTrue(serves(twoClasses(), 0, 1_000, true, 130, true), "a retry at once, with all the time left");
  }

  /**
   * Little time left must not count as a sign of a retry in a class all of whose clients wait for a short
   * time.
   */
  @Test
  void littleTimeLeftThatIsUsualInItsClassIsNoSignOfARetry() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(10);
    int refused = 0;
    for (int i = 0; i < 400; i++) {
      f.now += 10;
      String endpoint = BalancerFixture.sentTo(
          f.balancer.handle(f.now, new RequestReceived(i, f.now + 400, 0, 0, 1_000 + i, false)));
      refused += endpoint == null ? 1 : 0;
      if (endpoint != null) {
        f.endAttempt(i, 0, endpoint, 130, Result.OK);
      }
    }
    assertEquals(0, refused);
  }
}

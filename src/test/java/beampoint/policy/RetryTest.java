package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Fail;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.Result;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts after the first: at another cache, at the origin, or none where a repeat is unsafe. */
class RetryTest {

  @Test
  void aMissGoesToTheOrigin() {
    BalancerFixture f = BalancerFixture.withTraffic(4);
    String cache = f.serve(5);
    long id = f.nextId();
    f.read(5);
    assertEquals("origin", BalancerFixture.sentTo(f.endAttempt(id, 0, cache, 2, Result.MISS)));
  }

  @Test
  void aFailedFetchIsNotRetriedAtAnOriginThatDrains() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    long id = f.nextId();
    assertEquals("origin", BalancerFixture.sentTo(f.request(0, 0, 5, true)));
    f.receiveList(ListKind.CHANGES,
        List.of(new Endpoint("origin", 0, BalancerFixture.ORIGIN, 9, EndpointState.DRAINING, 1, 0)));
    assertTrue(BalancerFixture.has(f.endAttempt(id, 0, "origin", 5, Result.ERROR), Refuse.class));
  }

  @Test
  void aWriteGoesStraightToTheOrigin() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    assertEquals("origin", BalancerFixture.sentTo(f.request(0, 0, 5, true)));
  }

  @Test
  void anAttemptThatNeverRanUsesUpNoRetryTokens() {
    everyFirstAttemptEnds(Result.CONNECT_FAILED);
    everyFirstAttemptEnds(Result.FULL);
  }

  private static void everyFirstAttemptEnds(Result result) {
    BalancerFixture f = BalancerFixture.withTraffic(6);
    for (long key = 0; key < 20; key++) {
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.read(key));
      String next = BalancerFixture.sentTo(f.endAttempt(id, 0, endpoint, 1, result));
      assertNotNull(next, result + ", request " + key);
      f.endAttempt(id, 1, next, 10, Result.OK);
      f.now += 2_000;
    }
  }

  /** Immediate retries would use up all attempts at once; a request must not wait until it expires. */
  @Test
  void anOriginThatRefusesAConnectionIsRetriedAfterAPauseOrNotAtAll() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    long id = f.nextId();
    String cache = BalancerFixture.sentTo(f.read(1));
    assertEquals("origin", BalancerFixture.sentTo(f.endAttempt(id, 0, cache, 10, Result.MISS)));
    f.now += 100; // the time that the origin takes, as observed
    List<Action> actions = f.endAttempt(id, 1, "origin", 100, Result.CONNECT_FAILED);
    assertNull(BalancerFixture.sentTo(actions));
    double pause = actions.stream().filter(SetTimer.class::isInstance).map(a -> ((SetTimer) a).delay())
        .findFirst().orElseThrow();
    assertTrue(pause >= 0 && pause <= 400, "pause: " + pause);
    f.now += pause;
    assertEquals("origin", BalancerFixture.sentTo(f.balancer.handle(f.now, new TimerFired(id))));
    f.endAttempt(id, 2, "origin", 20, Result.OK);
    long late = f.nextId();
    cache = BalancerFixture.sentTo(f.read(2));
    assertEquals("origin", BalancerFixture.sentTo(f.endAttempt(late, 0, cache, 10, Result.MISS)));
    f.now += 499.99;
    assertTrue(
        BalancerFixture.has(f.endAttempt(late, 1, "origin", 480, Result.CONNECT_FAILED), Refuse.class));
  }

  @Test
  void retriesAndRefusalsFollowTheIdempotencyOfTheClass() {
    for (Idempotency idempotency : Idempotency.values()) {
      for (Result result : Result.values()) {
        if (result.isAnswer() || result == Result.NOT_SENT) {
          continue;
        }
        BalancerFixture f =
            new BalancerFixture(BalancerFixture.requestClass(idempotency, DedupGroup.CELL)).withFleet(6);
        long id = f.nextId();
        String endpoint = BalancerFixture.sentTo(f.request(0, 0, 5, true));
        List<Action> answer = f.endAttempt(id, 0, endpoint, 5, result);
        if (result == Result.CONNECT_FAILED) { // retried after a pause
          f.now += 50;
          answer = f.balancer.handle(f.now, new TimerFired(id));
        }
        boolean mayRefuse = result.neverRan || idempotency == Idempotency.SAFE;
        boolean mayRepeat = mayRefuse || idempotency == Idempotency.KEYED;
        String situation = idempotency + " after " + result + ": " + answer;
        assertTrue(mayRefuse || !BalancerFixture.has(answer, Refuse.class), situation);
        assertEquals(mayRepeat, BalancerFixture.sentTo(answer) != null, situation);
        assertEquals(!mayRepeat, BalancerFixture.has(answer, Fail.class), situation);
      }
    }
  }

  /** Guards against fetching again what this proxy has no memory for, which would load the servers more. */
  @Test
  void anAnswerThatWasDiscardedIsNotAskedForAgain() {
    for (Idempotency idempotency : Idempotency.values()) {
      BalancerFixture f =
          new BalancerFixture(BalancerFixture.requestClass(idempotency, DedupGroup.CELL)).withFleet(6);
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.request(0, 0, 5, true));
      List<Action> answer = f.endAttempt(id, 0, endpoint, 5, Result.DISCARDED);
      String situation = idempotency + ": " + answer;
      assertNull(BalancerFixture.sentTo(answer), situation);
      boolean isSafe = idempotency == Idempotency.SAFE;
      assertEquals(isSafe, BalancerFixture.has(answer, Refuse.class), situation);
      assertEquals(!isSafe, BalancerFixture.has(answer, Fail.class), situation);
    }
  }

  @Test
  void aKeyedRequestIsNotRetriedAfterItsDedupWindow() {
    Balancer.RequestClass keyed =
        new Balancer.RequestClass(Idempotency.KEYED, DedupGroup.ALL, 100, 5_000, 9_000, 1, 0);
    BalancerFixture f = new BalancerFixture(keyed).withFleet(4);
    long id = f.nextId();
    f.request(0, 0, 5, true);
    f.now += 100;
    List<Action> answer = f.endAttempt(id, 0, "origin", 100, Result.ERROR);
    assertNull(BalancerFixture.sentTo(answer));
    assertTrue(BalancerFixture.has(answer, Refuse.class));
  }

  @Test
  void attemptsAreLimited() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    long id = f.nextId();
    List<Action> answer = f.read(5);
    int attempts = 0;
    while (BalancerFixture.sentTo(answer) != null) {
      answer = f.endAttempt(id, attempts++, BalancerFixture.sentTo(answer), 1, Result.MISS);
    }
    assertTrue(attempts <= 3, "attempts: " + attempts);
    assertTrue(BalancerFixture.has(answer, Refuse.class));
  }
}

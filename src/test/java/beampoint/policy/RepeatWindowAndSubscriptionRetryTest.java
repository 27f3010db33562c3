package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Action;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The latest arrival of a repeated attempt, and the delay before a failed subscription to the host list is
 * retried.
 */
class RepeatWindowAndSubscriptionRetryTest {

  private static Send sent(List<Action> actions) {
    return (Send) actions.stream().filter(Send.class::isInstance).findFirst().orElseThrow();
  }

  /** A connection may be established so late that endpoints no longer drop repeats of the request. */
  @Test
  void aRepeatOfAKeyedRequestMustBeginWithinTheDedupWindowOfItsFirstAttempt() {
    BalancerFixture f =
        new BalancerFixture(BalancerFixture.requestClass(Idempotency.KEYED, DedupGroup.ALL)).withFleet(4);
    for (int key = 0; key < 10; key++) {
      f.serve(key); // retries are limited to a part of the requests
    }
    double first = f.now;
    long id = f.nextId();
    Send send = sent(f.read(7));
    assertTrue(send.arriveBy() > 1e15, "the first may begin at any time");
    f.now += 100;
    Send again = sent(f.endAttempt(id, 0, send.endpoint(), 100, Result.RESET));
    assertEquals(first + 2_000, again.arriveBy());
    f.now += 100;
    Send last = sent(f.endAttempt(id, 1, again.endpoint(), 100, Result.RESET));
    assertEquals(first + 2_000, last.arriveBy(), "counted from the first attempt");
  }

  @Test
  void aRequestThatNeverRanOrIsSafeMayBeginAtAnyTime() {
    for (Idempotency idempotency : Idempotency.values()) {
      BalancerFixture f =
          new BalancerFixture(BalancerFixture.requestClass(idempotency, DedupGroup.ALL)).withFleet(4);
      Send send = sent(f.read(7));
      Result result = idempotency == Idempotency.SAFE ? Result.RESET : Result.CONNECT_FAILED;
      assertTrue(sent(f.endAttempt(0, 0, send.endpoint(), 10, result)).arriveBy() > 1e15, idempotency.name());
    }
  }

  /**
   * After a subscription that failed or was refused or abandoned, a balancer has to know a change within 6 s
   * of the time when discovery had it and could be reached.
   */
  @Test
  void aFailedSubscriptionIsRetriedWithinSeconds() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.settings(List.of(), false, BalancerFixture.READ));
    List<Endpoint> known = List.of(BalancerFixture.cache(0, EndpointState.RUNNING, 0));
    double unanswered = BalancerFixture.timerDelay(f.receiveList(ListKind.REMEMBERED, known));
    assertTrue(unanswered <= 2_500, "no answer: " + unanswered);
    for (int i = 0; i < 50; i++) {
      double failed =
          BalancerFixture
              .timerDelay(f.balancer.handle(f.now, new ListReceived(ListKind.UNAVAILABLE, List.of())));
      assertTrue(failed <= 2_500, "failed: " + failed);
    }
  }
}

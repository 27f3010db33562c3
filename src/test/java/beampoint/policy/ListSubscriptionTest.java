package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.SubscribeToList;
import beampoint.Balancer.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a balancer subscribes to the host list, and when it retries a subscription. */
class ListSubscriptionTest {

  @Test
  void aBrokenSubscriptionIsRetriedAfterARandomDelay() {
    Balancer b = new BalancerPolicy(BalancerFixture.settings(List.of(), false, BalancerFixture.READ));
    b.handle(0, new ListReceived(ListKind.REMEMBERED, BalancerFixture.fleet(3)));
    b.handle(10, new ListReceived(ListKind.CHANGES, List.of()));
    SetTimer timer = (SetTimer) b.handle(9_000, new ListReceived(ListKind.UNAVAILABLE, List.of())).get(0);
    assertTrue(timer.delay() <= 10_000);
    double due = 9_000 + timer.delay();
    assertTrue(BalancerFixture.has(b.handle(due, new TimerFired(timer.token())), SubscribeToList.class));
  }

  @Test
  void aListThatIsNotPushedIsSubscribedToAndARefusedSubscriptionIsRetried() {
    Balancer b = new BalancerPolicy(BalancerFixture.settings(List.of(), false, BalancerFixture.READ));
    assertTrue(
        BalancerFixture.has(b.handle(0, new ListReceived(ListKind.REMEMBERED, BalancerFixture.fleet(3))),
            SubscribeToList.class));
    List<Action> refused = b.handle(10, new ListReceived(ListKind.UNAVAILABLE, List.of()));
    SetTimer timer = (SetTimer) refused.get(0);
    assertTrue(timer.delay() < 10_000);
    assertTrue(
        BalancerFixture.has(b.handle(10 + timer.delay(), new TimerFired(timer.token())),
            SubscribeToList.class));
  }

  @Test
  void anUnansweredSubscriptionIsRetriedAndAnAnsweredOneIsNot() {
    Balancer b = new BalancerPolicy(BalancerFixture.settings(List.of(), false, BalancerFixture.READ));
    List<Action> asked = b.handle(0, new ListReceived(ListKind.REMEMBERED, BalancerFixture.fleet(3)));
    SetTimer timer = (SetTimer) asked.get(1);
    assertTrue(timer.delay() < 10_000);
    assertTrue(
        BalancerFixture.has(b.handle(timer.delay(), new TimerFired(timer.token())), SubscribeToList.class));
    b.handle(timer.delay() + 10, new ListReceived(ListKind.CHANGES, List.of()));
    assertEquals(List.of(), b.handle(2 * timer.delay(), new TimerFired(timer.token())));
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Action;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.GiveUpReason;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Probe;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.Result;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.TimerFired;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** No cache of an unconfirmed list is used: discovery may have announced its drain before the start. */
class UnconfirmedListTest {

  private static final int CACHES = 4;

  private static BalancerFixture started(boolean probes) {
    BalancerFixture f = new BalancerFixture(probes, BalancerFixture.READ);
    f.receiveList(ListKind.UNCONFIRMED, BalancerFixture.fleet(CACHES));
    return f;
  }

  @Test
  void readsGoToTheOriginUntilDiscoveryHasAnswered() {
    BalancerFixture f = started(false);
    assertEquals(Set.of("origin"), Set.copyOf(f.placement(200).values()));
  }

  @Test
  void anAnswerWithoutChangesConfirmsTheList() {
    BalancerFixture f = started(false);
    f.receiveList(ListKind.CHANGES, List.of());
    assertTrue(f.serve(5).startsWith("cache-"));
  }

  @Test
  void anAnswerWithADrainKeepsTheOtherCaches() {
    BalancerFixture f = started(false);
    f.receiveList(ListKind.CHANGES, List.of(BalancerFixture.cache(1, EndpointState.DRAINING, 0)));
    Map<Long, String> placed = f.placement();
    assertFalse(placed.containsValue("cache-1"));
    assertTrue(placed.containsValue("cache-2"));
  }

  @Test
  void noRetryAndNoProbeGoesToACache() {
    BalancerFixture f = started(true);
    for (Result failure : new Result[] {Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CONNECT_FAILED}) {
      long id = f.nextId();
      List<Action> actions = f.read(5);
      for (int attempt = 0; "origin".equals(BalancerFixture.sentTo(actions)); attempt++) {
        assertFalse(BalancerFixture.has(actions, Probe.class));
        actions = f.endAttempt(id, attempt, "origin", 1, failure);
        if (BalancerFixture.has(actions, SetTimer.class)) {
          f.now += BalancerFixture.timerDelay(actions);
          actions = f.balancer.handle(f.now, new TimerFired(id));
        }
      }
      assertEquals(null, BalancerFixture.sentTo(actions), failure + " was followed by another send");
      assertTrue(BalancerFixture.has(actions, Refuse.class), failure + ": " + actions);
    }
  }

  @Test
  void withoutAnOriginRequestsAreRefusedWithRetryAdvice() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ);
    f.receiveList(ListKind.UNCONFIRMED, List.of(BalancerFixture.cache(0), BalancerFixture.cache(1)));
    List<Action> actions = f.read(5);
    assertEquals(List.of(new Refuse(0, 400, GiveUpReason.NO_ROOM)), actions);
  }
}

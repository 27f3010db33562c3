package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Action;
import beampoint.Balancer.EndpointState;
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

  private static Fixture started(boolean probes) {
    Fixture f = new Fixture(probes, Fixture.READ);
    f.list(ListKind.UNCONFIRMED, Fixture.fleet(CACHES));
    return f;
  }

  @Test
  void readsGoToTheOriginUntilDiscoveryHasAnswered() {
    Fixture f = started(false);
    assertEquals(Set.of("origin"), Set.copyOf(f.placement(200).values()));
  }

  @Test
  void anAnswerWithoutChangesConfirmsTheList() {
    Fixture f = started(false);
    f.list(ListKind.CHANGES, List.of());
    assertTrue(f.serve(5).startsWith("cache-"));
  }

  @Test
  void anAnswerWithADrainKeepsTheOtherCaches() {
    Fixture f = started(false);
    f.list(ListKind.CHANGES, List.of(Fixture.cache(1, EndpointState.DRAINING, 0)));
    Map<Long, String> placed = f.placement();
    assertFalse(placed.containsValue("cache-1"));
    assertTrue(placed.containsValue("cache-2"));
  }

  @Test
  void noRetryAndNoProbeGoesToACache() {
    Fixture f = started(true);
    for (Result failure : new Result[] {Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CONNECT_FAILED}) {
      long id = f.nextId();
      List<Action> actions = f.read(5);
      for (int attempt = 0; "origin".equals(Fixture.sentTo(actions)); attempt++) {
        assertFalse(Fixture.has(actions, Probe.class));
        actions = f.end(id, attempt, "origin", 1, failure);
        if (Fixture.has(actions, SetTimer.class)) {
          f.now += Fixture.timerDelay(actions);
          actions = f.balancer.handle(f.now, new TimerFired(id));
        }
      }
      assertEquals(null, Fixture.sentTo(actions), failure + " was followed by another send");
      assertTrue(Fixture.has(actions, Refuse.class), failure + ": " + actions);
    }
  }

  @Test
  void withoutAnOriginRequestsAreRefusedWithRetryAdvice() {
    Fixture f = new Fixture(Fixture.READ);
    f.list(ListKind.UNCONFIRMED, List.of(Fixture.cache(0), Fixture.cache(1)));
    List<Action> actions = f.read(5);
    assertEquals(List.of(new Refuse(0, 400)), actions);
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.Result;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.TimerFired;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When an endpoint is probed before it is sent a request, and what follows from the outcome. */
class ProbeTest {

  @Test
  void anUnknownCacheIsProbedAndALateProbeSpillsToTheNext() {
    BalancerFixture f = new BalancerFixture(true, BalancerFixture.READ).withFleet(6);
    List<Action> probing = f.read(5);
    assertNull(BalancerFixture.sentTo(probing));
    String primary = ((Balancer.Probe) probing.get(0)).endpoint();
    long first = f.nextId() - 1;
    List<Action> answered = f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.OK, 2));
    assertEquals(primary, BalancerFixture.sentTo(answered));
    f.endAttempt(first, 0, primary, 10, Result.OK);
    long second = f.nextId();
    f.read(5);
    f.now += 50;
    String next = BalancerFixture.sentTo(f.balancer.handle(f.now, new TimerFired(second)));
    assertNotNull(next);
    assertNotEquals(primary, next);
    assertNull(
        BalancerFixture.sentTo(f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.OK, 60))));
  }

  @Test
  void aProbeIsSentOnlyWhereFailuresMakeItWorthItsPrice() {
    Balancer.Prices prices = new Balancer.Prices(0, 0, 0.08, 0);
    BalancerFixture f =
        new BalancerFixture(BalancerFixture.settings(List.of(), true, true, prices, BalancerFixture.READ))
            .withFleet(40);
    for (long key = 0; key < 20; key++) {
      long id = f.nextId();
      List<Action> actions = f.read(key);
      assertFalse(BalancerFixture.has(actions, Balancer.Probe.class), "while caches do well, key " + key);
      f.endAttempt(id, 0, BalancerFixture.sentTo(actions), 10, key == 12 ? Result.TIMEOUT : Result.OK);
    }
    for (long key = 100; key < 112; key++) {
      long id = f.nextId();
      List<Action> actions = f.read(key);
      String endpoint = BalancerFixture.sentTo(actions);
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 1_000, Result.TIMEOUT);
      }
    }
    assertTrue(
        IntStream.range(200, 220).anyMatch(key -> BalancerFixture.has(f.read(key), Balancer.Probe.class)),
        "once many attempts fail");
  }

  @Test
  void aProbeIsNotAwaitedBeyondTheDeadline() {
    BalancerFixture f = new BalancerFixture(true, BalancerFixture.READ).withFleet(6);
    Balancer.RequestReceived last = new Balancer.RequestReceived(1, f.now + 20, 0, 0, 5, false);
    List<Action> probing = f.balancer.handle(f.now, last);
    assertTrue(probing.stream().anyMatch(a -> a instanceof SetTimer t && t.delay() < 20));
  }

  @Test
  void aCacheWhoseProbeFailsIsEjectedForAWhile() {
    BalancerFixture f = new BalancerFixture(true, BalancerFixture.READ).withFleet(6);
    String primary = ((Balancer.Probe) f.read(5).get(0)).endpoint();
    String next = BalancerFixture.sentTo(
        f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.TIMEOUT, 50)));
    assertNotNull(next);
    assertNotEquals(primary, next);
    f.endAttempt(0, 0, next, 10, Result.OK);
    assertFalse(probed(f).contains(primary));
    f.now += 20_000;
    assertTrue(probed(f).contains(primary));
  }

  private static List<String> probed(BalancerFixture f) {
    return IntStream.range(0, 100).mapToObj(i -> f.read(100 + i)).flatMap(List::stream)
        .filter(Balancer.Probe.class::isInstance).map(a -> ((Balancer.Probe) a).endpoint()).toList();
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.CloseIdle;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Result;
import beampoint.Balancer.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Which idle connections are closed where holding a connection has a price. */
class IdleConnectionTest {

  /**
   * One of {@code balancers} balancers with four caches; holding 100 connections costs as much as a new one.
   */
  private static BalancerFixture priced(int balancers) {
    Balancer.Prices prices = new Balancer.Prices(0.05, 0.05, 0, 0);
    Settings s = BalancerFixture.settings(List.of(), true, false, prices, BalancerFixture.READ);
    return new BalancerFixture(new Settings(s.seed(), balancers, s.zone(), s.listPushed(), s.weightSource(),
        s.originKind(), s.overShareWorth(), s.limits(), s.rules(), s.prices(), s.classes(), s.tenants()))
        .withFleet(4);
  }

  /**
   * Serves one read every {@code gapMs} ms, one for each key; returns how often each cache's connections are
   * closed.
   */
  private static Map<String, Integer> closes(BalancerFixture f, double gapMs, LongStream keys) {
    Map<String, Integer> closes = new HashMap<>();
    keys.forEach(key -> {
      f.now += gapMs;
      long id = f.nextId();
      List<Action> actions = new ArrayList<>(f.read(key));
      actions.addAll(f.endAttempt(id, 0, BalancerFixture.sentTo(actions), 10, Result.OK));
      actions.stream().filter(CloseIdle.class::isInstance)
          .forEach(a -> closes.merge(((CloseIdle) a).endpoint(), 1, Integer::sum));
    });
    return closes;
  }

  /** How often connections are closed while 200 distinct keys are read, summed over all caches. */
  private static int closes(int balancers, double gapMs) {
    return closes(priced(balancers), gapMs, LongStream.range(0, 200)).values().stream().mapToInt(n -> n)
        .sum();
  }

  /**
   * The decision depends on the number of balancers, not on the rate of one: with more balancers a cache
   * holds more connections.
   */
  @Test
  void connectionsAreKeptIfUsedOftenComparedWithTheLoadOfTheFleet() {
    assertTrue(closes(20, 100) < 5);
    assertTrue(closes(20, 1_000) < 5);
    assertTrue(closes(400, 100) > 150);
    assertTrue(closes(400, 1_000) > 150);
  }

  @Test
  void aConnectionIsClosedOnceItIsNoLongerUsed() {
    BalancerFixture lookUp = priced(60);
    String endpoint = lookUp.serve(5);
    List<Long> keys = LongStream.range(10, 400).filter(k -> !lookUp.serve(k).equals(endpoint)).boxed()
        .toList();
    BalancerFixture f = priced(60);
    assertEquals(endpoint, f.serve(5));
    assertEquals(1, closes(f, 100, LongStream.range(0, 2_000).map(i -> keys.get((int) i % keys.size())))
        .get(endpoint));
  }

  /** Endpoints that are gone must not stay in memory, since new ones come with new ids all the time. */
  @Test
  void theConnectionsOfAnEndpointThatIsGoneAreClosed() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(3);
    String endpoint = f.serve(1);
    Endpoint removed =
        BalancerFixture.fleet(3).stream().filter(e -> e.id().equals(endpoint)).findFirst().orElseThrow();
    List<Action> actions = f.receiveList(ListKind.CHANGES, List.of(removed.gone()));
    assertTrue(actions.contains(new CloseIdle(endpoint)), actions.toString());
  }
}

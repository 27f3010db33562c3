package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Load;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.Result;
import beampoint.Balancer.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How load reports change admission, and that a missing or empty report changes nothing. */
class LoadReportTest {

  private static final List<Tenant> TENANTS = List.of(new Tenant(40), new Tenant(40), new Tenant(40));
  private static final Load NO_QUEUE = new Load(0, Double.NaN);
  private static final Load QUEUE = new Load(3, Double.NaN);
  private static final Load NO_VALUES = new Load(Double.NaN, Double.NaN);

  private static int tenant(int request) {
    return request % 10 == 0 ? 1 : request % 10 == 5 ? 2 : 0;
  }

  /**
   * One of three tenants surges while caches need 0.3 of the target time for an answer. True where nearly all
   * of its traffic beyond its share is served.
   */
  private static boolean servesASurge(Load load) {
    BalancerFixture f = new BalancerFixture(TENANTS, BalancerFixture.READ).withFleet(6);
    int refused = 0;
    for (int i = 0; i < 1_500; i++) {
      f.now += 10;
      long id = f.nextId();
      List<Balancer.Action> actions = f.request(0, tenant(i), i, false);
      String endpoint = BalancerFixture.sentTo(actions);
      refused += BalancerFixture.has(actions, Refuse.class) ? 1 : 0;
      if (endpoint != null) {
        f.endAttemptWithLoad(id, endpoint, 150, load);
      }
    }
    return refused < 75;
  }

  @Test
  void trafficBeyondAShareIsServedWhileCachesReportLowLoad() {
    assertTrue(servesASurge(NO_QUEUE));
    assertTrue(servesASurge(new Load(Double.NaN, 0.1)));
  }

  @Test
  void trafficBeyondAShareIsLimitedWhileCachesReportHighLoadOrNone() {
    assertFalse(servesASurge(QUEUE));
    assertFalse(servesASurge(new Load(Double.NaN, 0.98)));
    assertFalse(servesASurge(null));
    assertFalse(servesASurge(NO_VALUES));
  }

  /** A report from minutes ago must not go on admitting traffic beyond a share. */
  @Test
  void anOldReportDoesNotCount() {
    BalancerFixture f = new BalancerFixture(TENANTS, BalancerFixture.READ).withFleet(6);
    for (int i = 0; i < 100; i++) {
      f.now += 10;
      long id = f.nextId();
      f.endAttemptWithLoad(id, BalancerFixture.sentTo(f.request(0, i % 3, i, false)), 150, NO_QUEUE);
    }
    f.now += 60_000;
    int refused = 0;
    for (int i = 0; i < 1_500; i++) {
      f.now += 10;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.request(0, tenant(i), i, false));
      refused += endpoint == null ? 1 : 0;
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 150, Result.OK);
      }
    }
    assertTrue(refused > 75, "refused: " + refused);
  }

  /** A report may come with the end of an attempt whose cache has left the list meanwhile. */
  @Test
  void aReportOfACacheThatIsGoneIsIgnored() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(3);
    long id = f.nextId();
    String endpoint = BalancerFixture.sentTo(f.read(1));
    f.receiveList(Balancer.ListKind.FULL, List.of(BalancerFixture.originEndpoint()));
    f.endAttemptWithLoad(id, endpoint, 20, QUEUE);
    assertTrue(BalancerFixture.has(f.read(2), Refuse.class));
  }
}

package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.GiveUpReason;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that are refused at once: too late, beyond their tenant's share, or without an endpoint. */
class AdmissionTest {

  @Test
  void aRequestThatWouldBeAnsweredTooLateIsRefusedAtOnceWithRetryAdvice() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(2);
    for (long key = 0; key < 10; key++) {
      f.read(key);
    }
    f.now += 510;
    List<Action> last = f.read(10);
    assertEquals(List.of(new Refuse(f.nextId() - 1, 400, GiveUpReason.NO_ROOM)), last);
  }

  @Test
  void aRequestThatExpiredBeforeItWasSentIsRefusedAtOnce() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    long id = f.nextId();
    String endpoint = BalancerFixture.sentTo(f.read(5));
    assertTrue(BalancerFixture.has(f.endAttempt(id, 0, endpoint, 0, Result.NOT_SENT), Refuse.class));
  }

  /** Refused requests among so many in a row by one tenant, where caches have room for shares only. */
  private static long refusedInARow(int requests) {
    Balancer.Tenant tenant = new Balancer.Tenant(1);
    BalancerFixture f =
        new BalancerFixture(List.of(tenant, tenant, tenant), BalancerFixture.READ).withFleet(6);
    long refused = 0;
    for (int i = 0; i < 60 + requests; i++) {
      f.now += 50;
      long id = f.nextId();
      String endpoint = BalancerFixture.sentTo(f.request(0, i < 60 ? i % 3 : 0, i, false));
      if (endpoint != null) {
        f.endAttempt(id, 0, endpoint, 160, Result.OK);
      } else if (i >= 60) {
        refused++;
      }
    }
    return refused;
  }

  @Test
  void aFewRequestsInARowByOneTenantAreServedAndASurgeIsRefused() {
    assertEquals(0, refusedInARow(4));
    assertTrue(refusedInARow(60) > 10, "refused: " + refusedInARow(60));
  }

  @Test
  void anEmptyFleetRefusesInsteadOfFailing() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ);
    f.receiveList(ListKind.REMEMBERED, List.of());
    assertTrue(BalancerFixture.has(f.read(5), Refuse.class));
    assertTrue(BalancerFixture.has(f.read(-1), Refuse.class));
  }

  @Test
  void zeroWeightsDrainingCachesAndAMissingOriginAreHandled() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ);
    f.receiveList(ListKind.FULL,
        List.of(new Endpoint("idle", 0, BalancerFixture.CACHE, 0, EndpointState.RUNNING, 0, 0)));
    long id = f.nextId();
    assertEquals("idle", BalancerFixture.sentTo(f.read(5)));
    assertTrue(BalancerFixture.has(f.endAttempt(id, 0, "idle", 1, Result.MISS), Refuse.class));
    assertTrue(BalancerFixture.has(f.request(0, 0, 5, true), Refuse.class));
    f.receiveList(ListKind.FULL, List.of(BalancerFixture.cache(1, EndpointState.DRAINING, 0)));
    assertTrue(BalancerFixture.has(f.read(5), Refuse.class));
  }

  @Test
  void anOverflowRequestIsRefusedAtOnce() {
    BalancerFixture f = BalancerFixture.withTraffic(4);
    for (boolean write : new boolean[] {false, true}) {
      RequestReceived overflow =
          new RequestReceived(f.nextId() + 1_000, f.now + 1_000, 0, 0, 5, write, false, true);
      assertEquals(List.of(new Refuse(overflow.id(), 400, GiveUpReason.NOT_QUEUED)),
          f.balancer.handle(f.now, overflow));
    }
  }
}

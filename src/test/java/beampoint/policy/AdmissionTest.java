package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
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
    Fixture f = new Fixture(Fixture.READ).withFleet(2);
    for (long key = 0; key < 10; key++) {
      f.read(key);
    }
    f.now += 510;
    List<Action> last = f.read(10);
    assertEquals(List.of(new Refuse(f.nextId() - 1, 400)), last);
  }

  @Test
  void aRequestThatExpiredBeforeItWasSentIsRefusedAtOnce() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    long id = f.nextId();
    String endpoint = Fixture.sentTo(f.read(5));
    assertTrue(Fixture.has(f.end(id, 0, endpoint, 0, Result.NOT_SENT), Refuse.class));
  }

  /** Refused requests among so many in a row by one tenant, where caches have room for shares only. */
  private static long refusedInARow(int requests) {
    Balancer.Tenant tenant = new Balancer.Tenant(1);
    Fixture f = new Fixture(List.of(tenant, tenant, tenant), Fixture.READ).withFleet(6);
    long refused = 0;
    for (int i = 0; i < 60 + requests; i++) {
      f.now += 50;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.request(0, i < 60 ? i % 3 : 0, i, false));
      if (endpoint != null) {
        f.end(id, 0, endpoint, 160, Result.OK);
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
    Fixture f = new Fixture(Fixture.READ);
    f.list(ListKind.REMEMBERED, List.of());
    assertTrue(Fixture.has(f.read(5), Refuse.class));
    assertTrue(Fixture.has(f.read(-1), Refuse.class));
  }

  @Test
  void zeroWeightsDrainingCachesAndAMissingOriginAreHandled() {
    Fixture f = new Fixture(Fixture.READ);
    f.list(ListKind.FULL, List.of(new Endpoint("idle", 0, Fixture.CACHE, 0, EndpointState.RUNNING, 0, 0)));
    long id = f.nextId();
    assertEquals("idle", Fixture.sentTo(f.read(5)));
    assertTrue(Fixture.has(f.end(id, 0, "idle", 1, Result.MISS), Refuse.class));
    assertTrue(Fixture.has(f.request(0, 0, 5, true), Refuse.class));
    f.list(ListKind.FULL, List.of(Fixture.cache(1, EndpointState.DRAINING, 0)));
    assertTrue(Fixture.has(f.read(5), Refuse.class));
  }

  @Test
  void anOverflowRequestIsRefusedAtOnce() {
    Fixture f = Fixture.withTraffic(4);
    for (boolean write : new boolean[] {false, true}) {
      RequestReceived overflow =
          new RequestReceived(f.nextId() + 1_000, f.now + 1_000, 0, 0, 5, write, false, true);
      assertEquals(List.of(new Refuse(overflow.id(), 400)), f.balancer.handle(f.now, overflow));
    }
  }
}

package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every request is answered within half a second of its deadline, whatever happens to it. */
@Timeout(30)
class AnswerTimeTest {

  private static final int DEADLINE_MS = 400;
  private static final int MAX_DELAY_MS = 500; // answers after the deadline earn nothing; later ones are lost

  private static void assertAnsweredInTime(Client client, String expected) throws Exception {
    long startedAt = System.nanoTime();
    assertEquals(expected, client.request("mg 1 v O1 Pc=read,t=acme,d=" + DEADLINE_MS + "\r\n"));
    double took = (System.nanoTime() - startedAt) / 1e6;
    assertTrue(took > DEADLINE_MS / 2.0 && took < DEADLINE_MS + MAX_DELAY_MS, "took " + took + " ms");
  }

  @Test
  void aRequestThatTheModuleLeavesUndecidedFailsAtItsDeadline() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> List.of();
      assertAnsweredInTime(client, "SERVER_ERROR failed");
      assertEquals(1, proxy.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }

  @Test
  void aRequestWithoutAnswerOrDecisionFailsAfterItsAttempt() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0)) : List.of();
      assertAnsweredInTime(client, "SERVER_ERROR failed");
    }
  }
}

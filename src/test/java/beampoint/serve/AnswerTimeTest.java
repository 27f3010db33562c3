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

/** Whatever becomes of a request, its client hears of it within half a second of the time that it waits. */
@Timeout(30)
class AnswerTimeTest {

  private static final int WAIT_MS = 400;
  private static final int LOST_AFTER_MS = 500; // beyond its time; until then an answer only earns nothing

  private static void assertAnsweredInTime(Client client, String expected) throws Exception {
    long begunAt = System.nanoTime();
    assertEquals(expected, client.request("mg 1 v O1 Pc=read,t=acme,d=" + WAIT_MS + "\r\n"));
    double took = (System.nanoTime() - begunAt) / 1e6;
    assertTrue(took > WAIT_MS / 2.0 && took < WAIT_MS + LOST_AFTER_MS, "took " + took + " ms");
  }

  @Test
  void aRequestThatNobodyDecidesIsFailedWhenItsTimeIsUp() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> List.of();
      assertAnsweredInTime(client, "SERVER_ERROR failed");
      assertEquals(1, proxy.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }

  @Test
  void aRequestWhoseCacheNodeSaysNothingIsFailedThoughItsEndIsNotDecided() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0)) : List.of();
      assertAnsweredInTime(client, "SERVER_ERROR failed");
    }
  }
}

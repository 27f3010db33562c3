package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Event;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Send;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.TimerFired;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a late event loop that fails requests before the module knows that their attempts ended. */
@Timeout(30)
class StalledEventLoopTest {

  private static final String REQUEST = "mg 7f3a v Oasked Pc=read,t=acme,d=600\r\n";
  private static final long STALL_MS = 500;
  private static final long DECISION_MS = 5;
  private static final int REQUESTS = 20;
  private static final long STALLING_ID = 2; // of the request at which the loop stalls

  /** Stalls the decision thread at the first of the other client's commands. */
  private static List<Action> decide(Event event, int attempts) {
    if (event instanceof RequestReceived e) {
      if (e.id() == STALLING_ID) {
        ProxyFixture.sleep(STALL_MS);
      }
      return List.of(e.id() < STALLING_ID ? new Send(e.id(), "cache", 0) : new Refuse(e.id(), 0));
    }
    if (event instanceof AttemptEnded e && !e.done()) {
      return List.of(e.attempt() < attempts - 1 ? new Send(e.id(), "cache", 0) : new Refuse(e.id(), 0));
    }
    return List.of();
  }

  private static void check(int attempts) throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy); Client other = new Client(proxy)) {
      proxy.module.script = event -> decide(event, attempts);
      client.send(REQUEST);
      proxy.module.next(RequestReceived.class);
      TimeUnit.MILLISECONDS.sleep(350);
      other.send("mg 1 v Oa Pc=read,t=acme,d=4000\r\nmg 2 v Ob Pc=read,t=acme,d=4000\r\n"
          + "mg 3 v Oc Pc=read,t=acme,d=4000\r\n");
      assertEquals("SERVER_ERROR busy", client.line());
      assertEquals(0, proxy.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }

  @Test
  void theModulesAnswerIsGivenThoughTheLoopIsLate() throws Exception {
    check(1);
  }

  /** Retries for which no time is left end at once, and the module receives their ends one by one. */
  @Test
  void theModulesAnswerIsGivenThoughItRetriesFirst() throws Exception {
    check(3);
  }

  /**
   * Requests that arrived during a stall of the thread, and whose deadline has passed when the module
   * receives them, wait for a timer of the module. It takes some ms for each, so it receives the first ones
   * long before the timers run.
   */
  @Test
  void theModulesTimerRunsThoughTheDeadlineHadPassedWhenItWasSet() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client other = new Client(proxy); Client client = new Client(proxy)) {
      assertEquals("MN", client.request("mn\r\n"));
      proxy.module.script = StalledEventLoopTest::refuseByTimer;
      other.send("mg 1 v Ofirst Pc=read,t=acme,d=4000\r\n");
      proxy.module.next(RequestReceived.class);
      for (int i = 0; i < REQUESTS; i++) {
        client.send("mg 2 v Omany" + i + " Pc=read,t=acme,d=100\r\n");
      }
      for (int i = 0; i < REQUESTS; i++) {
        assertEquals("SERVER_ERROR busy", client.line());
      }
      assertEquals(0, proxy.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }

  private static List<Action> refuseByTimer(Event event) {
    if (event instanceof TimerFired e) {
      return List.of(new Refuse(e.token(), 0));
    }
    if (event instanceof RequestReceived e) {
      ProxyFixture.sleep(e.id() == 1 ? STALL_MS : DECISION_MS);
      return List.of(e.id() == 1 ? new Refuse(e.id(), 0) : new SetTimer(0, e.id()));
    }
    return List.of();
  }
}

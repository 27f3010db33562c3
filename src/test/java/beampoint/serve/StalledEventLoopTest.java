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

/** Guards against requests failed before the module has heard that their attempt ended, by a late loop. */
@Timeout(30)
class StalledEventLoopTest {

  private static final String ASKED = "mg 7f3a v Oasked Pc=read,t=acme,d=600\r\n";
  private static final long HELD_UP_MS = 500;
  private static final long DECIDED_MS = 5;
  private static final int MANY = 20;
  private static final long DISTURBING = 2; // the request at which it is held up

  /** Holds the decision thread up at the first of the other client's commands. */
  private static List<Action> decide(Event event, int attempts) {
    if (event instanceof RequestReceived e) {
      if (e.id() == DISTURBING) {
        ProxyFixture.sleep(HELD_UP_MS);
      }
      return List.of(e.id() < DISTURBING ? new Send(e.id(), "cache", 0) : new Refuse(e.id(), 0));
    }
    if (event instanceof AttemptEnded e && !e.done()) {
      return List.of(e.attempt() < attempts - 1 ? new Send(e.id(), "cache", 0) : new Refuse(e.id(), 0));
    }
    return List.of();
  }

  private static void check(int attempts) throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client asks = new Client(proxy); Client disturbs = new Client(proxy)) {
      proxy.module.script = event -> decide(event, attempts);
      asks.send(ASKED);
      proxy.module.next(RequestReceived.class);
      TimeUnit.MILLISECONDS.sleep(350);
      disturbs.send("mg 1 v Oa Pc=read,t=acme,d=4000\r\nmg 2 v Ob Pc=read,t=acme,d=4000\r\n"
          + "mg 3 v Oc Pc=read,t=acme,d=4000\r\n");
      assertEquals("SERVER_ERROR busy", asks.line());
      assertEquals(0, proxy.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }

  @Test
  void theModulesAnswerIsGivenThoughTheLoopIsLate() throws Exception {
    check(1);
  }

  /** Further attempts, for which there is no time, end at once and are told one by one. */
  @Test
  void theModulesAnswerIsGivenThoughItTriesAgainFirst() throws Exception {
    check(3);
  }

  /**
   * Requests that came while the thread was held up, and whose time is over as the module hears of them, wait
   * for a timer of the module's. Each takes it some ms, so the first are told long before the timers run.
   */
  @Test
  void theModulesTimerRunsThoughTheTimeWasOverAsItWasSet() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client disturbs = new Client(proxy); Client asks = new Client(proxy)) {
      assertEquals("MN", asks.request("mn\r\n"));
      proxy.module.script = StalledEventLoopTest::refuseByTimer;
      disturbs.send("mg 1 v Ofirst Pc=read,t=acme,d=4000\r\n");
      proxy.module.next(RequestReceived.class);
      for (int i = 0; i < MANY; i++) {
        asks.send("mg 2 v Omany" + i + " Pc=read,t=acme,d=100\r\n");
      }
      for (int i = 0; i < MANY; i++) {
        assertEquals("SERVER_ERROR busy", asks.line());
      }
      assertEquals(0, proxy.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }

  private static List<Action> refuseByTimer(Event event) {
    if (event instanceof TimerFired e) {
      return List.of(new Refuse(e.token(), 0));
    }
    if (event instanceof RequestReceived e) {
      ProxyFixture.sleep(e.id() == 1 ? HELD_UP_MS : DECIDED_MS);
      return List.of(e.id() == 1 ? new Refuse(e.id(), 0) : new SetTimer(0, e.id()));
    }
    return List.of();
  }
}

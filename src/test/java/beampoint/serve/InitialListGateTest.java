package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Event;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.discovery.HostListWatcher;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process that has just started, and receives a request before discovery has answered. */
@Timeout(60)
class InitialListGateTest {

  private static final String DRAIN = "{\"seq\":2,\"whole\":false,\"hosts\":["
      + "{\"host\":\"cache\",\"dial\":\"127.0.0.1:1\",\"class\":\"m2\",\"health\":\"Terminating\"}]}\n";

  /** A proxy whose module refuses all requests, and a client that has sent it one. */
  private static final class Start implements AutoCloseable {
    private final ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
    private final Proxy proxy;
    private final Client client;
    private final long startedAt;

    Start(Stub discovery, int deadlineMs) throws Exception {
      module.script = event -> event instanceof RequestReceived e
          ? List.of(new Refuse(e.id(), 0)) : List.of();
      proxy = new Proxy(ProxyFixture.config(List.of(ProxyFixture.host("cache", "127.0.0.1:1", "m2")), 1024,
          discovery.address()), settings -> module);
      proxy.start();
      client = new Client(proxy.port());
      startedAt = System.nanoTime();
      client.send("mg 1 v O1 Pc=read,t=acme,d=" + deadlineMs + "\r\n");
    }

    void awaitAccepted() {
      while (proxy.counters().get(Counter.REQUESTS_TAKEN) == 0) {
        Thread.onSpinWait();
      }
    }

    /** The events that the module received up to the request. */
    List<Event> eventsUpToRequest() throws InterruptedException {
      List<Event> events = new ArrayList<>();
      do {
        events.add(module.events.poll(10, TimeUnit.SECONDS));
      } while (!(events.get(events.size() - 1) instanceof RequestReceived));
      return events;
    }

    @Override
    public void close() throws IOException {
      client.close();
      proxy.stop();
    }
  }

  /**
   * Guards against sending the first request of a new process to a node that discovery has long reported as
   * draining: clients of a killed process connect to its successor before that reports that it is ready.
   */
  @Test
  void aRequestThatArrivesBeforeTheFirstListIsDecidedAfterIt() throws Exception {
    boolean answeredInTime = false;
    for (int starts = 0; starts < 20 && !answeredInTime; starts++) {
      CountDownLatch accepted = new CountDownLatch(1);
      try (Stub discovery = new Stub(peer -> {
        peer.head();
        accepted.await();
        peer.say(ProxyFixture.LIST_HEAD + Integer.toHexString(DRAIN.length()) + "\r\n" + DRAIN + "\r\n");
        peer.beSilent();
      }); Start start = new Start(discovery, 5_000)) {
        start.awaitAccepted();
        accepted.countDown();
        List<Event> events = start.eventsUpToRequest();
        // On a stalled machine the call counts as unanswered; then the next start is tried.
        answeredInTime = start.proxy.counters().get(Counter.WATCHES_BROKEN) == 0;
        if (answeredInTime) {
          Event before = events.get(events.size() - 2);
          assertTrue(before instanceof ListReceived list && list.kind() == ListKind.CHANGES,
              "events: " + events);
        }
        assertEquals("SERVER_ERROR busy", start.client.line());
      }
    }
    assertTrue(answeredInTime, "no call was answered within " + HostListWatcher.RESPONSE_TIMEOUT_MS + " ms");
  }

  /** Guards against requests that wait for a discovery that is down: it answers at once, or not at all. */
  @Test
  void aRequestWaitsForOneUnansweredCallAtMost() throws Exception {
    try (Stub discovery = new Stub(Stub.Peer::beSilent); Start start = new Start(discovery, 20_000)) {
      assertEquals("SERVER_ERROR busy", start.client.line());
      double took = (System.nanoTime() - start.startedAt) / 1e6;
      assertTrue(took < 20_000 / 2, "half of its time is the other limit; took " + took);
      assertTrue(start.proxy.counters().get(Counter.WATCHES_BROKEN) > 0);
    }
  }

  /** Guards against a discovery that answers but sends no list: the limit is half of a request's time. */
  @Test
  void aRequestWaitsNoLongerThanHalfOfItsTime() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say(ProxyFixture.LIST_HEAD);
      peer.beSilent();
    }); Start start = new Start(discovery, 1_000)) {
      assertEquals("SERVER_ERROR busy", start.client.line());
      assertEquals(0, start.proxy.counters().get(Counter.ANSWERS_OVERDUE));
    }
  }
}

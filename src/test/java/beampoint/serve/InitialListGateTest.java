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

/** A process that has just started, and is asked before it knows what discovery has to tell. */
@Timeout(60)
class InitialListGateTest {

  private static final String DRAIN = "{\"seq\":2,\"whole\":false,\"hosts\":["
      + "{\"host\":\"cache\",\"dial\":\"127.0.0.1:1\",\"class\":\"m2\",\"health\":\"Terminating\"}]}\n";

  /** A proxy whose module refuses all, and what the module was told until it was told of a request. */
  private static final class Start implements AutoCloseable {
    private final ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
    private final Proxy proxy;
    private final Client client;
    private final long begunAt;

    Start(Stub discovery, int waitMs) throws Exception {
      module.script = event -> event instanceof RequestReceived e
          ? List.of(new Refuse(e.id(), 0)) : List.of();
      proxy = new Proxy(ProxyFixture.config(List.of(ProxyFixture.host("cache", "127.0.0.1:1", "m2")), 1024,
          discovery.address()), settings -> module);
      proxy.start();
      client = new Client(proxy.port());
      begunAt = System.nanoTime();
      client.send("mg 1 v O1 Pc=read,t=acme,d=" + waitMs + "\r\n");
    }

    void awaitTaken() {
      while (proxy.counters().get(Counter.REQUESTS_TAKEN) == 0) {
        Thread.onSpinWait();
      }
    }

    List<Event> untilTheRequest() throws InterruptedException {
      List<Event> told = new ArrayList<>();
      do {
        told.add(module.events.poll(10, TimeUnit.SECONDS));
      } while (!(told.get(told.size() - 1) instanceof RequestReceived));
      return told;
    }

    @Override
    public void close() throws IOException {
      client.close();
      proxy.stop();
    }
  }

  /**
   * Guards against a drain that discovery told long ago, and that the first request of a new process breaks:
   * clients of a process that was killed come to the next one before it says that it is ready.
   */
  @Test
  void aRequestThatComesBeforeTheFirstListIsDecidedByIt() throws Exception {
    boolean heardInTime = false;
    for (int tries = 0; tries < 20 && !heardInTime; tries++) {
      CountDownLatch taken = new CountDownLatch(1);
      try (Stub discovery = new Stub(peer -> {
        peer.head();
        taken.await();
        peer.say(ProxyFixture.LIST_HEAD + Integer.toHexString(DRAIN.length()) + "\r\n" + DRAIN + "\r\n");
        peer.beSilent();
      }); Start start = new Start(discovery, 5_000)) {
        start.awaitTaken();
        taken.countDown();
        List<Event> told = start.untilTheRequest();
        // On a machine that was held up the call counts as not answered, and the next start shows it.
        heardInTime = start.proxy.counters().get(Counter.WATCHES_BROKEN) == 0;
        if (heardInTime) {
          Event before = told.get(told.size() - 2);
          assertTrue(before instanceof ListReceived list && list.kind() == ListKind.CHANGES, "told: " + told);
        }
        assertEquals("SERVER_ERROR busy", start.client.line());
      }
    }
    assertTrue(heardInTime, "no call was answered within " + HostListWatcher.ANSWER_TIMEOUT_MS + " ms");
  }

  /** Guards against clients that wait for a discovery which is down: it answers at once, or not at all. */
  @Test
  void aRequestWaitsNoLongerThanForOneCallThatIsNotAnswered() throws Exception {
    try (Stub discovery = new Stub(Stub.Peer::beSilent); Start start = new Start(discovery, 20_000)) {
      assertEquals("SERVER_ERROR busy", start.client.line());
      double took = (System.nanoTime() - start.begunAt) / 1e6;
      assertTrue(took < 20_000 / 2, "half of its time is the other bound; took " + took);
      assertTrue(start.proxy.counters().get(Counter.WATCHES_BROKEN) > 0);
    }
  }

  /** Guards against a discovery that answers and tells nothing: half of a request's time is the bound. */
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

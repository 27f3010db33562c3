package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Event;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against sending cache nodes a time left from which the time unread in a socket is not deducted. */
@Timeout(30)
class ArrivalTimeTest {

  private static final int DEADLINE_MS = 2000;
  private static final int TOLERANCE_MS = 150;
  private static final int STALL_MS = 600;
  private static final int MAX_CLIENTS = 4; // with 40 descriptors
  private static final String FIRST = "mg 1 v Ofirst Pc=read,t=acme,d=4000\r\n";
  private static final String REQUEST = "mg 7f3a v Oasked Pc=read,t=acme,d=" + DEADLINE_MS + "\r\n";
  private static final Pattern TIME_LEFT = Pattern.compile("d=(\\d+)");

  private final CountDownLatch stalled = new CountDownLatch(1);
  private volatile long stallEndedAt; // by System.nanoTime(); set before any request is sent on

  /** The first request stalls the decision thread; all others go to the cache. */
  private List<Action> decide(Event event) {
    if (event instanceof RequestReceived e) {
      if (e.id() > 1) {
        return List.of(new Send(e.id(), "cache", 0));
      }
      stalled.countDown();
      ProxyFixture.sleep(STALL_MS);
      stallEndedAt = System.nanoTime();
      return List.of(new Refuse(e.id(), 0));
    }
    return event instanceof AttemptEnded e && !e.done() ? List.of(new Refuse(e.id(), 0)) : List.of();
  }

  /** A cache that reads what it is sent, and answers nothing. */
  private static void readOnly(Stub.Peer peer) throws IOException {
    for (String line = peer.line(); line != null; line = peer.line()) {
      // the stub has recorded the line
    }
  }

  /**
   * Checks that the time left that the cache was sent is no more than what was left at the end of the stall,
   * because the request was sent on after it.
   */
  private void assertTimeLeft(Stub cache, long sentAt) throws InterruptedException {
    Matcher timeLeft = TIME_LEFT.matcher(cache.nextLine());
    assertTrue(timeLeft.find());
    int ms = Integer.parseInt(timeLeft.group(1));
    long passed = TimeUnit.NANOSECONDS.toMillis(stallEndedAt - sentAt);
    assertTrue(ms <= DEADLINE_MS - passed + TOLERANCE_MS, "sent " + ms + " ms after " + passed + " ms");
  }

  @Test
  void aRequestThatArrivesDuringAStallIsSentWithTheTimeLeft() throws Exception {
    try (Stub cache = new Stub(ArrivalTimeTest::readOnly);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client first = new Client(proxy); Client client = new Client(proxy)) {
      assertEquals("MN", client.request("mn\r\n"));
      proxy.module.script = this::decide;
      first.send(FIRST);
      stalled.await();
      long sentAt = System.nanoTime();
      client.send(REQUEST);
      assertTimeLeft(cache, sentAt);
    }
  }

  @Test
  void theFirstRequestOfAClientThatConnectsDuringAStallIsSentWithTheTimeLeft() throws Exception {
    List<Client> others = new ArrayList<>();
    try (Stub cache = new Stub(ArrivalTimeTest::readOnly);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client first = new Client(proxy)) {
      proxy.module.script = this::decide;
      first.send(FIRST);
      stalled.await();
      for (int i = 0; i < 30; i++) {
        others.add(new Client(proxy));
      }
      try (Client client = new Client(proxy)) {
        long sentAt = System.nanoTime();
        client.send(REQUEST);
        assertTimeLeft(cache, sentAt);
      }
    } finally {
      Client.closeAll(others);
    }
  }

  /** Clients with open requests hold all connections; one that connects meanwhile waits until they close. */
  @Test
  void theFirstRequestOfAClientThatWaitedToBeAcceptedIsSentWithTheTimeLeft() throws Exception {
    List<Client> busyClients = new ArrayList<>();
    try (Stub cache = new Stub(ArrivalTimeTest::readOnly);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody(), 32 + 8)) {
      proxy.module.script = event -> event instanceof RequestReceived e && e.id() > MAX_CLIENTS
          ? List.of(new Send(e.id(), "cache", 0)) : List.of();
      for (int i = 0; i < MAX_CLIENTS; i++) {
        busyClients.add(new Client(proxy));
        busyClients.get(i).send("mg " + i + " v O" + i + " Pc=read,t=acme,d=4000\r\n");
        proxy.module.next(RequestReceived.class);
      }
      try (Client client = new Client(proxy)) {
        long sentAt = System.nanoTime();
        client.send(REQUEST);
        ProxyFixture.sleep(STALL_MS);
        stallEndedAt = System.nanoTime();
        Client.closeAll(busyClients);
        assertTimeLeft(cache, sentAt);
      }
    } finally {
      Client.closeAll(busyClients);
    }
  }
}

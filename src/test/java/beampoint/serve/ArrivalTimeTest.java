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

/** Guards against time told to cache nodes that was over while a request lay in its socket. */
@Timeout(30)
class ArrivalTimeTest {

  private static final int WAITS_MS = 2000;
  private static final int SLACK_MS = 150;
  private static final int HELD_UP_MS = 600;
  private static final int PLACES = 4; // of clients, where there are 40 descriptors
  private static final String FIRST = "mg 1 v Ofirst Pc=read,t=acme,d=4000\r\n";
  private static final String ASKED = "mg 7f3a v Oasked Pc=read,t=acme,d=" + WAITS_MS + "\r\n";
  private static final Pattern TIME = Pattern.compile("d=(\\d+)");

  private final CountDownLatch heldUp = new CountDownLatch(1);
  private volatile long hinderedUntil; // by System.nanoTime(); set before any request is sent on

  /** The first request holds the decision thread up; all others go to the cache. */
  private List<Action> decide(Event event) {
    if (event instanceof RequestReceived e) {
      if (e.id() > 1) {
        return List.of(new Send(e.id(), "cache", 0));
      }
      heldUp.countDown();
      ProxyFixture.sleep(HELD_UP_MS);
      hinderedUntil = System.nanoTime();
      return List.of(new Refuse(e.id(), 0));
    }
    return event instanceof AttemptEnded e && !e.done() ? List.of(new Refuse(e.id(), 0)) : List.of();
  }

  /** A cache that notes what it is sent, and answers nothing. */
  private static void readOn(Stub.Peer peer) throws IOException {
    for (String line = peer.line(); line != null; line = peer.line()) {
      // the stub has noted it
    }
  }

  /**
   * What the cache was told of a request is no more than what was left when the hindrance was over: it was
   * sent after that.
   */
  private void assertTold(Stub cache, long askedAt) throws InterruptedException {
    Matcher told = TIME.matcher(cache.nextLine());
    assertTrue(told.find());
    int ms = Integer.parseInt(told.group(1));
    long passed = TimeUnit.NANOSECONDS.toMillis(hinderedUntil - askedAt);
    assertTrue(ms <= WAITS_MS - passed + SLACK_MS, "told " + ms + " ms after " + passed + " ms");
  }

  @Test
  void whatCameWhileTheLoopWasHeldUpTellsWhatIsLeft() throws Exception {
    try (Stub cache = new Stub(ArrivalTimeTest::readOn);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client first = new Client(proxy); Client asks = new Client(proxy)) {
      assertEquals("MN", asks.request("mn\r\n"));
      proxy.module.script = this::decide;
      first.send(FIRST);
      heldUp.await();
      long askedAt = System.nanoTime();
      asks.send(ASKED);
      assertTold(cache, askedAt);
    }
  }

  @Test
  void whoConnectedWhileTheLoopWasHeldUpIsToldWhatIsLeft() throws Exception {
    List<Client> others = new ArrayList<>();
    try (Stub cache = new Stub(ArrivalTimeTest::readOn);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client first = new Client(proxy)) {
      proxy.module.script = this::decide;
      first.send(FIRST);
      heldUp.await();
      for (int i = 0; i < 30; i++) {
        others.add(new Client(proxy));
      }
      try (Client asks = new Client(proxy)) {
        long askedAt = System.nanoTime();
        asks.send(ASKED);
        assertTold(cache, askedAt);
      }
    } finally {
      Client.closeAll(others);
    }
  }

  /** Clients with requests that are open hold all places; one that connects meanwhile waits until they go. */
  @Test
  void whoWaitedForAPlaceIsToldWhatIsLeft() throws Exception {
    List<Client> crowd = new ArrayList<>();
    try (Stub cache = new Stub(ArrivalTimeTest::readOn);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody(), 32 + 8)) {
      proxy.module.script = event -> event instanceof RequestReceived e && e.id() > PLACES
          ? List.of(new Send(e.id(), "cache", 0)) : List.of();
      for (int i = 0; i < PLACES; i++) {
        crowd.add(new Client(proxy));
        crowd.get(i).send("mg " + i + " v O" + i + " Pc=read,t=acme,d=4000\r\n");
        proxy.module.next(RequestReceived.class);
      }
      try (Client asks = new Client(proxy)) {
        long askedAt = System.nanoTime();
        asks.send(ASKED);
        ProxyFixture.sleep(HELD_UP_MS);
        hinderedUntil = System.nanoTime();
        Client.closeAll(crowd);
        assertTold(cache, askedAt);
      }
    } finally {
      Client.closeAll(crowd);
    }
  }
}

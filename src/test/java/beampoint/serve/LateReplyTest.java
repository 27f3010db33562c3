package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A second copy of a reply, some milliseconds late, is never taken for the reply to the next request on its
 * connection. Guards against a client that is served another request's value or receipt, and against a write
 * that is sent again although it was executed, because a copy said that it was not.
 */
@Timeout(30)
class LateReplyTest {

  private static final int COPY_DELAY_MS = 15; // after the reply
  private static final int NEXT_REQUEST_MS = 10; // after the reply
  private static final int SERVICE_MS = 20;
  private static final int REQUESTS = 10;

  /** Sends a reply, and a second copy of it later on another thread. */
  private static void sayTwice(Stub.Peer peer, String reply, int copyDelayMs) throws IOException {
    peer.say(reply);
    Thread copy = new Thread(() -> {
      ProxyFixture.sleep(copyDelayMs);
      try {
        peer.say(reply);
      } catch (IOException e) {
        // the proxy has closed the connection
      }
    });
    copy.setDaemon(true);
    copy.start();
  }

  private static String value(String head) {
    String id = head.replaceAll("(?s).*Req-Id: ([^\n]*).*", "$1");
    return "HTTP/1.1 200 OK\r\nContent-Length: " + (id.length() + 4) + "\r\n\r\nfor " + id;
  }

  private static Stub originWithLateCopies() throws Exception {
    return new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        ProxyFixture.sleep(SERVICE_MS);
        sayTwice(peer, value(head), COPY_DELAY_MS);
      }
    });
  }

  private static void assertEachServedItsOwnValue(ProxyFixture proxy) throws Exception {
    try (Client client = new Client(proxy)) {
      for (int i = 0; i < REQUESTS; i++) {
        String id = "r" + i;
        assertEquals("VA " + (id.length() + 4) + " O" + id,
            client.request("mg 7f v O" + id + " Pc=read,t=acme,d=4000\r\n"));
        assertEquals("for " + id, client.line());
        ProxyFixture.sleep(NEXT_REQUEST_MS);
      }
    }
  }

  @Test
  void aReadIsNotServedTheSecondCopyOfAnEarlierValue() throws Exception {
    try (Stub origin = originWithLateCopies();
        ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address())) {
      proxy.sendTo("origin");
      assertEachServedItsOwnValue(proxy);
    }
  }

  /** Where no further connection may be opened, one that has not rested is replaced and not used. */
  @Test
  void aConnectionThatHasNotRestedIsReplacedWhenNoFurtherOneMayBeOpened() throws Exception {
    int descriptors = 40; // leaves 4 connections to servers
    try (Stub origin = originWithLateCopies();
        ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address(), descriptors)) {
      proxy.sendTo("origin");
      assertEachServedItsOwnValue(proxy);
    }
  }

  /** The proxy was busy while the copy arrived, so the connection seems to have rested. */
  @Test
  void aSecondCopyThatIsNotReadYetIsFoundBeforeTheConnectionIsUsed() throws Exception {
    try (Stub origin = originWithLateCopies();
        ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          ProxyFixture.sleep(e.id() > 1 ? 200 : 0);
          return List.of(new Send(e.id(), "origin", 0));
        }
        return List.of();
      };
      assertEquals("VA 5 Oa", client.request("mg 7f v Oa Pc=read,t=acme,d=4000\r\n"));
      assertEquals("for a", client.line());
      assertEquals("VA 5 Ob", client.request("mg 7f v Ob Pc=read,t=acme,d=4000\r\n"));
      assertEquals("for b", client.line());
    }
  }

  /** The origin declines every second write; the module sends a declined one again, as it never ran. */
  @Test
  void aWriteIsNotSentAgainBecauseOfACopyThatDeclinesAnother() throws Exception {
    Set<String> executed = ConcurrentHashMap.newKeySet();
    AtomicInteger executedTwice = new AtomicInteger();
    AtomicInteger count = new AtomicInteger();
    try (Stub origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        peer.bytes(5);
        if (count.incrementAndGet() % 2 == 1) {
          sayTwice(peer, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", COPY_DELAY_MS);
        } else {
          executedTwice.addAndGet(executed.add(value(head)) ? 0 : 1);
          ProxyFixture.sleep(SERVICE_MS);
          peer.say(value(head));
        }
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          return List.of(new Send(e.id(), "origin", 0));
        }
        if (event instanceof AttemptEnded e && !e.done()) {
          ProxyFixture.sleep(e.attempt() == 0 ? NEXT_REQUEST_MS : 0);
          boolean mayRetry = e.result() == Result.FULL && e.attempt() < 2;
          return List.of(mayRetry ? new Send(e.id(), "origin", 0) : new Refuse(e.id(), 0));
        }
        return List.of();
      };
      for (int i = 0; i < REQUESTS; i++) {
        String id = "w" + i;
        assertEquals("HD O" + id + " cfor " + id,
            client.request("ms 7f 5 O" + id + " Pc=put,t=acme,d=4000,k=5c\r\nhello\r\n"));
      }
      assertEquals(0, executedTwice.get());
    }
  }

  /** Errors of cache nodes name no request either. */
  @Test
  void aReadIsNotEndedByTheSecondCopyOfAnEarlierError() throws Exception {
    AtomicInteger count = new AtomicInteger();
    try (Stub cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        if (count.incrementAndGet() == 1) {
          sayTwice(peer, "SERVER_ERROR busy\r\n", COPY_DELAY_MS);
        } else {
          ProxyFixture.sleep(SERVICE_MS);
          peer.say("VA 0 " + line.split(" ")[3] + "\r\n\r\n");
        }
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("SERVER_ERROR busy", client.request("mg 7f v Oa Pc=read,t=acme,d=4000\r\n"));
      assertEquals(Result.FULL, proxy.nextAttemptEnded().result());
      assertEquals("VA 0 Ob", client.request("mg 7f v Ob Pc=read,t=acme,d=4000\r\n"));
      assertEquals(Result.OK, proxy.nextAttemptEnded().result());
    }
  }
}

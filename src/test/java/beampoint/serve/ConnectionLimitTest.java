package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Which clients and servers get connections where file descriptors are scarce. */
@Timeout(30)
class ConnectionLimitTest {

  /** Guards against silent caches that hold every connection, so that no request reaches the origin. */
  @Test
  void cachesLeaveConnectionsForTheOrigin() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent); Stub origin = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), origin.address(), 32 + 8);
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 4; i++) {
        client.send("mg " + i + " v O" + i + " Pc=read,d=4000\r\n");
      }
      assertEquals(Result.NOT_SENT, proxy.nextAttemptEnded().result(), "one of four is for the origin");
      proxy.sendTo("origin");
      client.send("mg 5 v O5 Pc=read,d=4000\r\n");
      assertEquals(Result.OK, proxy.nextAttemptEnded().result());
    }
  }

  /** Guards against evicting a slow client before newer clients that have stopped sending. */
  @Test
  void aSlowClientStaysConnectedWhileClientsThatStoppedSendingAreEvicted() throws Exception {
    List<Client> clients = new ArrayList<>();
    // Of 140 descriptors clients may use 35 before some are evicted, a third of those within a command.
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 140);
        Client slow = new Client(proxy); Client other = new Client(proxy)) {
      proxy.refuseAll();
      slow.send(READ.substring(0, 10));
      for (int i = 0; i < 11; i++) {
        clients.add(new Client(proxy));
      }
      proxy.awaitClients(13); // a client accepted later would have been active later than the slow one
      assertEquals("MN", other.request("mn\r\n"), "all accepted connections are registered by now");
      slow.send(READ.substring(10, 20));
      assertEquals("MN", other.request("mn\r\n"));
      assertEquals("MN", other.request("mn\r\n"), "what the slow client sent is read by now");
      for (int i = 11; i < 41; i++) {
        clients.add(new Client(proxy));
      }
      proxy.awaitClients(43);
      assertEquals("MN", other.request("mn\r\n"), "all accepted connections are registered by now");
      assertNull(clients.get(0).line(), "the client without progress for longest was evicted");
      assertEquals("SERVER_ERROR busy", slow.request(READ.substring(20)));
      assertEquals(8, proxy.proxy.counters().get(Counter.CLIENT_CONNECTIONS_CLOSED_FULL));
    } finally {
      Client.closeAll(clients);
    }
  }

  /** Guards against many clients that connect and send nothing, and displace the active clients. */
  @Test
  void clientsThatSendNothingAreEvictedBeforeActiveOnes() throws Exception {
    List<Client> clients = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 32 + 40)) {
      List<Client> active = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        active.add(new Client(proxy));
        assertEquals("MN", active.get(i).request("mn\r\n"));
      }
      for (int i = 0; i < 100; i++) {
        clients.add(new Client(proxy));
      }
      try (Client next = new Client(proxy)) {
        assertEquals("MN", next.request("mn\r\n"));
      }
      for (Client client : active) {
        assertEquals("MN", client.request("mn\r\n"));
        client.close();
      }
    } finally {
      Client.closeAll(clients);
    }
  }

  /** Guards against clients that send one request and stay connected, until their side may open no more. */
  @Test
  void idleClientsAreEvictedBeforeTheyHoldAThirdOfTheDescriptors() throws Exception {
    List<Client> clients = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 300)) {
      for (int i = 0; i < 300 / 3; i++) {
        clients.add(new Client(proxy));
        assertEquals("MN", clients.get(i).request("mn\r\n"));
      }
      assertNull(clients.get(0).line(), "the client that was idle for longest was evicted");
      assertEquals("MN", clients.get(300 / 3 - 1).request("mn\r\n"));
    } finally {
      Client.closeAll(clients);
    }
  }

  /**
   * Guards against accepting connections without limit, or no longer at all, once all descriptors for clients
   * are in use.
   */
  @Test
  void clientsBeyondTheLimitWaitOrReplaceIdleOnes() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 32 + 8)) {
      proxy.module.script = event -> List.of(); // requests stay open, so no connection is idle
      Client[] busy = new Client[4];
      for (int i = 0; i < busy.length; i++) {
        busy[i] = new Client(proxy);
        busy[i].send("mg 1 v O" + i + " Pc=read,d=4000\r\n");
        proxy.module.next(RequestReceived.class);
      }
      try (Client waiting = new Client(proxy)) {
        waiting.send("mn\r\n");
        assertEquals(4, proxy.proxy.counters().get(Counter.CLIENT_CONNECTIONS));
        busy[0].close();
        assertEquals("MN", waiting.line());
        busy[1].close();
        proxy.module.next(RequestGone.class);
        proxy.module.next(RequestGone.class);
        try (Client next = new Client(proxy)) {
          assertEquals("MN", next.request("mn\r\n"));
          assertNull(waiting.line(), "the idle client was evicted");
        }
      }
      busy[2].close();
      busy[3].close();
    }
  }

  /** Guards against a request that is lost, or sent twice, as its idle connection is being evicted. */
  @Test
  void aCommandThatWasReadIsAnsweredThoughItsConnectionWasChosenForEviction() throws Exception {
    CountDownLatch unblocked = new CountDownLatch(1);
    List<Client> all = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 32 + 2 * 40)) {
      for (int i = 0; i < 28; i++) {
        all.add(new Client(proxy));
        assertEquals("MN", all.get(i).request("mn\r\n"));
      }
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          ProxyFixture.await(unblocked);
          return List.of(new Refuse(e.id(), 0));
        }
        return List.of();
      };
      all.get(27).send(READ); // blocks the decision thread
      proxy.module.next(RequestReceived.class);
      all.add(new Client(proxy)); // one too many: the first is to be evicted
      all.get(0).send(READ.replace("O9b", "Oidle"));
      unblocked.countDown();
      assertEquals("SERVER_ERROR busy", all.get(0).line());
      assertNull(all.get(1).line(), "the next idle client was evicted");
    } finally {
      Client.closeAll(all);
    }
  }
}

package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.serve.ProxyFixture.Client;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The limit of file descriptors, and how many of them idle clients may hold. */
@Timeout(30)
class DescriptorsTest {

  private static final int SOCKETS = 72;

  /** Guards against idle clients that hold all descriptors when discovery becomes reachable again. */
  @Test
  void idleClientsThatConnectedWhileDiscoveryWasDownLeaveDescriptorsForItAndCacheNodes() throws Exception {
    CountDownLatch discoveryIsUp = new CountDownLatch(1);
    List<Client> idleClients = new ArrayList<>();
    try (Stub cache = new Stub(peer -> {
      while (peer.line() != null) {
        peer.say("VA 0 O9b\r\n\r\n");
      }
    }); Stub discovery = new Stub(peer -> {
      if (discoveryIsUp.getCount() > 0) {
        peer.reset();
        return;
      }
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\n\r\n{\"seq\":2,\"whole\":false,\"hosts\":[]}\n");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody(), SOCKETS,
        ProxyFixture.SETTINGS.replace("\"automatic\"", "\"push\""), discovery.address())) {
      proxy.sendTo("cache");
      for (int i = 0; i < 3 * SOCKETS; i++) {
        idleClients.add(new Client(proxy));
      }
      discoveryIsUp.countDown();
      ListReceived list = proxy.module.next(ListReceived.class);
      assertEquals(ListKind.CHANGES, list.kind());
      Counters counters = proxy.proxy.counters();
      long open = counters.get(Counter.CLIENT_CONNECTIONS)
          - counters.get(Counter.CLIENT_CONNECTIONS_CLOSED_FULL)
          - counters.get(Counter.CLIENT_CONNECTIONS_CLOSED_STALE);
      assertTrue(open <= SOCKETS / 2, "open client connections: " + open);
      try (Client active = new Client(proxy)) {
        assertEquals("VA 0 O9b", active.request("mg 7f3a v O9b Pc=read,t=acme,d=4000\r\n"));
      }
    } finally {
      for (Client client : idleClients) {
        client.close();
      }
    }
  }

  /** Guards against a configured number that exceeds the limit of the system. */
  @Test
  void theLimitInForceIsUsedWhereItIsLess() {
    String limits = "Max processes             127403               127403               processes \n"
        + "Max open files            640                  1048576              files     \n";
    assertEquals(640, Descriptors.atMost(1024, limits));
    assertEquals(512, Descriptors.atMost(512, limits));
    assertEquals(1024, Descriptors.atMost(1024, limits.replace("640 ", "unlimited ")));
    assertEquals(1024, Descriptors.atMost(1024, ""));
    assertTrue(Descriptors.atMost(Integer.MAX_VALUE) < Integer.MAX_VALUE, "this system has a file of limits");
  }
}

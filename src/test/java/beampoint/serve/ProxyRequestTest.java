package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static beampoint.serve.ProxyFixture.WRITE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests through the proxy on sockets, with a scripted module: values, writes, order and sizes. */
@Timeout(30)
class ProxyRequestTest {

  @Test
  void aValueGoesFromTheCacheNodeToTheClient() throws Exception {
    try (Stub cache = ScriptedCache.answering("VA 5 O9b h1 Linflight=1\r\nab\r\nc\r\n");
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("VA 5 O9b", client.request(READ));
      assertEquals("ab\r\nc\r\n", client.bytes(7));
      String sent = cache.nextLine();
      assertTrue(sent.matches("mg 7f3a v O9b Pc=read,t=acme,d=[1-3]\\d{3}"), sent);
      RequestReceived request = proxy.module.next(RequestReceived.class);
      assertEquals(0x7f3a, request.key());
      assertEquals(0, request.requestClass());
      assertEquals(0, request.tenant());
      AttemptEnded ended = proxy.nextAttemptEnded();
      assertEquals(Result.OK, ended.result());
      assertTrue(ended.done());
    }
  }

  @Test
  void theModuleGetsTheRetryMarkOfAClient() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.refuseAll();
      client.request(READ);
      assertFalse(proxy.module.next(RequestReceived.class).markedAsRetry());
      client.request(READ.replace("O9b", "O9c").replace("d=4000", "d=4000,r=1"));
      assertTrue(proxy.module.next(RequestReceived.class).markedAsRetry());
    }
  }

  @Test
  void aSecondRequestUsesTheSameConnection() throws Exception {
    try (Stub cache = ScriptedCache.answering("VA 0 O9b\r\n\r\n");
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 3; i++) {
        assertEquals("VA 0 O9b", client.request(READ));
        assertEquals("", client.line());
        proxy.nextAttemptEnded();
      }
      assertEquals(1, cache.connections());
    }
  }

  @Test
  void readsAndWritesReachTheOriginOverHttp() throws Exception {
    try (Stub origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        boolean write = head.startsWith("PUT");
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
            + (write && !peer.bytes(5).equals("hello") ? "garbled" : write ? "receipt" : "a value"));
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      long startedAt = System.nanoTime();
      assertEquals("VA 7 O9b", client.request(READ));
      assertEquals("a value", client.line());
      assertEquals("HD O9b creceipt", client.request(WRITE));
      assertEquals("GET /7f3a HTTP/1.1", origin.nextLine());
      assertEquals("Host: " + origin.address(), origin.nextLine());
      assertEquals("Req-Id: 9b", origin.nextLine());
      String parameters = origin.nextLine();
      long passed = (System.nanoTime() - startedAt) / 1_000_000 + 1;
      int timeLeft = Integer.parseInt(parameters.replace("Req-Extra: c=read,t=acme,d=", ""));
      assertTrue(timeLeft <= 4000 && timeLeft >= 4000 - passed, timeLeft + " within " + passed + " ms");
      assertTrue(proxy.module.next(RequestReceived.class).id() > 0);
      assertTrue(proxy.module.next(RequestReceived.class).write());
    }
  }

  @Test
  void answersComeInTheOrderOfTheCommands() throws Exception {
    try (Stub cache = new Stub(peer -> {
      String line = peer.line();
      if (line.contains("Oslow")) {
        peer.stub().ends.take(); // until the quick one has been answered
      }
      peer.say("VA 0 O" + (line.contains("Oslow") ? "slow" : "quick") + "\r\n\r\n");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send("mg 1 v Oslow Pc=read,d=4000\r\nmg 2 v Oquick Pc=read,d=4000\r\nmn\r\n");
      assertEquals(2, proxy.nextAttemptEnded().id(), "the quick one ends first");
      cache.ends.add(true);
      assertEquals("VA 0 Oslow", client.line());
      client.line();
      assertEquals("VA 0 Oquick", client.line());
      client.line();
      assertEquals("MN", client.line());
    }
  }

  @Test
  void theLargestBufferedValueIsPassedOnWholeInBothDirections() throws Exception {
    String value = "0123456789abcdef".repeat(4096);
    try (Stub origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        boolean write = head.startsWith("PUT ");
        String answer = !write ? value : peer.bytes(value.length()).equals(value) ? "done" : "torn";
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      client.send("ms 1 65536 Oa Pc=put,d=4000\r\n" + value + "\r\n");
      assertEquals("HD Oa cdone", client.line());
      assertEquals("VA 65536 Ob", client.request("mg 1 v Ob Pc=read,d=4000\r\n"));
      assertEquals(value, client.bytes(65536));
    }
  }

  /** Guards against truncated or interleaved answers if a client reads slowly and its socket is full. */
  @Test
  void aSlowReaderGetsAllItsAnswersWholeAndInOrder() throws Exception {
    String value = "0123456789abcdef".repeat(4096);
    int count = 80;
    try (Stub cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.say("VA 65536 " + line.split(" ")[3] + "\r\n" + value + "\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy.port, 4096)) {
      proxy.sendTo("cache");
      for (int i = 0; i < count; i++) {
        client.send("mg " + i + " v O" + i + " Pc=read,d=9000\r\n");
      }
      for (int i = 0; i < 20; i++) {
        proxy.nextAttemptEnded(); // these answers are in transit while the client does not read
      }
      for (int i = 0; i < count; i++) {
        assertEquals("VA 65536 O" + i, client.line());
        assertEquals(value, client.bytes(65536));
        client.line();
      }
    }
  }

  @Test
  void countersAreReportedOnRequest() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("SERVER_ERROR busy", client.request(READ));
      client.send("stats\r\n");
      StringBuilder stats = new StringBuilder();
      for (String line = client.line(); !line.equals("END"); line = client.line()) {
        stats.append(line).append('\n');
      }
      assertTrue(stats.toString().contains("STAT requests_taken 1\n"), stats.toString());
      assertTrue(stats.toString().contains("STAT attempts_connect_failed 1\n"), stats.toString());
      assertTrue(stats.toString().contains("STAT answered_refused 1\n"), stats.toString());
    }
  }

  /** Guards against requests for a cache that has died, which reach the new and cold one at its address. */
  @Test
  void aHostWhoseAddressANewOneHasTakenIsGoneBeforeDiscoveryNotices() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent); Stub discovery = new Stub(peer -> {
      peer.head();
      String next =
          ProxyFixture.host("next", cache.address(), "m2").replace("\"born_ms\":0", "\"born_ms\":500");
      String list = "{\"seq\":2,\"whole\":false,\"hosts\":[" + next + "]}\n";
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
          + "\r\n" + list + "\r\n");
      peer.beSilent();
    })) {
      ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
      Proxy proxy = new Proxy(ProxyFixture.config(List.of(ProxyFixture.host("cache", cache.address(), "m2")),
          1024, discovery.address()), settings -> module);
      try {
        proxy.start();
        assertEquals("cache", module.next(ListReceived.class).endpoints().get(0).id());
        List<Balancer.Endpoint> changed = module.next(ListReceived.class).endpoints();
        assertEquals(List.of("next RUNNING", "cache GONE"),
            changed.stream().map(e -> e.id() + " " + e.state()).toList());
      } finally {
        proxy.stop();
      }
    }
  }

  /** Guards against connections or memory that are kept for a host that is gone or has been replaced. */
  @Test
  void aNewHostAtAnOldAddressInheritsNoConnection() throws Exception {
    try (Stub cache = ScriptedCache.answeringOnSignal(); Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      peer.stub().ends.take(); // until the first request is in flight
      String list = "{\"seq\":2,\"whole\":true,\"hosts\":["
          + ProxyFixture.host("next", cache.address(), "m2") + "]}\n";
      peer.say(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
      peer.beSilent();
    })) {
      ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
      module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), e.id() == 1 ? "cache" : "next", 0)) : List.of();
      Proxy proxy = new Proxy(ProxyFixture.config(List.of(ProxyFixture.host("cache", cache.address(), "m2")),
          1024, discovery.address()), settings -> module);
      try {
        proxy.start();
        try (Client client = new Client(proxy.port())) {
          module.next(ListReceived.class);
          client.send(READ);
          cache.nextLine();
          discovery.ends.add(true);
          assertEquals("next", module.next(ListReceived.class).endpoints().get(0).id());
          cache.ends.add(true);
          assertEquals("VA 0 O9b", client.line());
          assertEquals("", client.line());
          assertTrue(cache.ends.take(), "the connection to the host that is gone is closed");
          cache.ends.add(true);
          assertEquals("VA 0 O9b", client.request(READ));
          assertEquals(2, cache.connections());
        }
      } finally {
        proxy.stop();
      }
    }
  }
}

package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Balancer.SubscribeToList;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy from its start to its shutdown: readiness, the host list, exceptions of the module, SIGTERM. */
@Timeout(30)
class ProxyLifecycleTest {

  /** Guards against traffic from the clients' side while code is being compiled and answers are late. */
  @Test
  void aProxyIsReadyOnlyAfterItsWarmUp() throws Exception {
    ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
    ProxyFixture.ScriptedModule warmUpModule = new ProxyFixture.ScriptedModule();
    CountDownLatch commandSent = new CountDownLatch(1); // blocks the warm-up until then
    warmUpModule.script = event -> {
      ProxyFixture.await(commandSent);
      return List.of();
    };
    AtomicInteger modulesCreated = new AtomicInteger();
    List<String> hosts = List.of(ProxyFixture.host("cache", Stub.nobody(), "m2"));
    Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, Stub.nobody()),
        settings -> modulesCreated.getAndIncrement() == 0 ? module : warmUpModule);
    try {
      proxy.startWithWarmUp();
      try (Client client = new Client(proxy.port())) {
        module.next(ListReceived.class);
        client.send("mn\r\n");
        commandSent.countDown();
        String answer = client.line();
        assertEquals("SERVER_ERROR not ready", answer);
        while (!answer.equals("MN")) {
          answer = client.request("mn\r\n");
        }
        assertEquals(0, proxy.counters().get(Counter.PROBES_SENT), "probes of the warm-up don't count");
        // The warm-up must be short: if most proxies restart at once, no other one serves meanwhile.
        int events = warmUpModule.events.size();
        assertTrue(events > 10 && events <= 100, "synthetic events: " + events);
      }
    } finally {
      proxy.stop();
    }
  }

  /** Guards against subscribing to a list without the module's request, which costs discovery work. */
  @Test
  void aListThatIsNotPushedIsSubscribedToByTheModuleOnly() throws Exception {
    String list = "{\"seq\":2,\"whole\":true,\"hosts\":["
        + ProxyFixture.host("s-2", "127.0.0.1:1", "m2") + "]}\n";
    ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
    module.script = event -> event instanceof ListReceived e && e.kind() == ListKind.REMEMBERED
        ? List.of(new SubscribeToList()) : List.of();
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
          + "\r\n" + list + "\r\n");
    })) {
      Proxy proxy = new Proxy(ProxyFixture.config(List.of(), 1024, discovery.address(),
          ProxyFixture.SETTINGS.replace("automatic", "subscribe")), settings -> module);
      try {
        proxy.start();
        assertEquals(ListKind.REMEMBERED, module.next(ListReceived.class).kind());
        ListReceived full = module.next(ListReceived.class);
        assertEquals(ListKind.FULL, full.kind());
        assertEquals("s-2", full.endpoints().get(0).id());
        assertEquals(ListKind.UNAVAILABLE, module.next(ListReceived.class).kind());
        assertEquals("GET /discovery/hosts?watch=1&from=1 HTTP/1.1", discovery.nextLine());
        assertNull(module.events.poll(500, TimeUnit.MILLISECONDS), "there is no second subscription");
        assertEquals(1, discovery.connections());
      } finally {
        proxy.stop();
      }
    }
  }

  /** Guards against an exception in the module that ends the proxy, or leaves its request unanswered. */
  @Test
  void anExceptionOfTheModuleFailsItsRequestAndTheProxyContinues() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> {
        throw new IllegalStateException("thrown by the test");
      };
      assertEquals("SERVER_ERROR failed", client.request(READ));
      proxy.refuseAll();
      assertEquals("SERVER_ERROR busy", client.request(READ));
      assertEquals(1, proxy.proxy.counters().get(Counter.LOGIC_EXCEPTIONS));
    }
  }

  @Test
  void anOpenRequestIsAnsweredBeforeTheShutdownEndsAndIdleClientsAreClosed() throws Exception {
    try (Stub cache = ScriptedCache.answeringOnSignal();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client busy = new Client(proxy); Client idle = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("MN", idle.request("mn\r\n"));
      busy.send(READ);
      cache.nextLine();
      Thread shutdown = new Thread(() -> {
        try {
          proxy.proxy.shutDownGracefully();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      shutdown.start();
      try (Client late = new Client(proxy)) {
        String ready = late.request("mn\r\n");
        while (ready.equals("MN")) {
          ready = late.request("mn\r\n"); // until the shutdown has begun
        }
        assertEquals("SERVER_ERROR not ready", ready, "clients are still accepted for a while");
      }
      assertNull(idle.line());
      cache.ends.add(true);
      assertEquals("VA 0 O9b", busy.line());
      busy.line();
      assertNull(busy.line());
      shutdown.join(5000);
      assertFalse(shutdown.isAlive());
    }
  }

  /**
   * After a SIGTERM clients keep sending on every connection that stays open: requests that are accepted are
   * answered, and a connection that ends has delivered complete answers only.
   */
  @Test
  void clientsThatKeepSendingAfterASigtermGetAnAnswerOrACloseWithNoRequestAccepted() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      proxy.refuseAll();
      AtomicInteger answers = new AtomicInteger();
      ExecutorService clients = Executors.newFixedThreadPool(6);
      List<Future<String>> ends = new ArrayList<>();
      CountDownLatch sending = new CountDownLatch(6);
      for (int i = 0; i < 6; i++) {
        String prefix = "Oc" + i + "n";
        Client client = new Client(proxy);
        ends.add(clients.submit(() -> {
          for (int n = 0;; n++) {
            String line;
            try {
              line = client.request(READ.replace("O9b", prefix + n));
            } catch (IOException e) {
              return "end"; // the request crossed the close of its connection
            }
            if (!"SERVER_ERROR busy".equals(line)) {
              client.close();
              return line == null ? "end" : line;
            }
            answers.incrementAndGet();
            sending.countDown();
          }
        }));
      }
      sending.await();
      proxy.proxy.shutDownGracefully();
      for (Future<String> end : ends) {
        assertEquals("end", end.get(5, TimeUnit.SECONDS));
      }
      clients.shutdown();
      Counters counters = proxy.proxy.counters();
      assertEquals(answers.get(), counters.get(Counter.REQUESTS_TAKEN), "all requests are answered");
      assertEquals(0, counters.get(Counter.ANSWERS_OVERDUE));
    }
  }

  /** Guards against a request that is still open at the SIGKILL: its deadline is brought forward. */
  @Test
  void aRequestThatItsCacheDoesNotAnswerIsAnsweredBeforeTheSigkill() throws Exception {
    try (Stub cache = ScriptedCache.silent();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 0)) : List.of();
      client.send(READ.replace("4000", "60000"));
      cache.nextLine();
      long before = System.nanoTime();
      proxy.proxy.shutDownGracefully();
      double took = (System.nanoTime() - before) / 1e6;
      assertTrue(took < 1700, "the SIGKILL comes 0.7 s after the deadline of 1 s; took " + took);
      assertEquals("SERVER_ERROR busy", client.line(), "the module refuses it as its attempt timed out");
      assertEquals(Result.TIMEOUT, proxy.nextAttemptEnded().result());
    }
  }

  /** Guards against requests that were read, are queued behind others, and remain unanswered at the end. */
  @Test
  void queuedRequestsAreAnsweredBeforeTheSigkill() throws Exception {
    int count = 6_000;
    try (Stub cache = ScriptedCache.silent();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(ProxyFixture.reads(count).replace("d=4000", "d=60000"));
      proxy.module.next(RequestReceived.class);
      CompletableFuture<Integer> answers = CompletableFuture.supplyAsync(() -> {
        int busy = 0;
        try {
          while ("SERVER_ERROR busy".equals(client.line())) {
            busy++;
          }
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
        return busy;
      });
      long before = System.nanoTime();
      proxy.proxy.shutDownGracefully();
      double took = (System.nanoTime() - before) / 1e6;
      assertTrue(took < 1700, "the SIGKILL comes 0.7 s after the deadline of 1 s; took " + took);
      assertEquals(count, proxy.proxy.counters().get(Counter.ANSWERED_REFUSED));
      assertEquals(32, proxy.proxy.counters().get(Counter.ATTEMPTS_SENT), "no queued request is started");
      assertEquals(count, answers.get());
    }
  }

  /**
   * Guards against a restart that cuts off a value: what the system held for a client that reads slowly was
   * dropped half a second after the last write, as the client still sent requests.
   */
  @Test
  void aValueThatItsClientReadsSlowlyIsSentWholeAfterASigterm() throws Exception {
    int valueBytes = 1 << 20;
    try (Stub cache = ScriptedCache.valueOf(valueBytes);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        SlowClient client = new SlowClient(proxy.port)) {
      proxy.sendTo("cache");
      client.send(READ);
      assertEquals("VA " + valueBytes + " O9b", client.line());
      CompletableFuture<Void> value = client.readWhileSending(valueBytes, 1200);
      long before = System.nanoTime();
      proxy.proxy.shutDownGracefully();
      double took = (System.nanoTime() - before) / 1e6;
      value.get();
      assertTrue(took < 1700, "the SIGKILL comes 0.7 s after the deadline of 1 s; took " + took);
    }
  }

  /** Guards against a client that does not read and would hold the process until it is killed. */
  @Test
  void aClientThatDoesNotReadIsWaitedForUntilTheSigkillOnly() throws Exception {
    try (Stub cache = ScriptedCache.valueOf(1 << 20);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy.port, 4096)) {
      proxy.sendTo("cache");
      client.send(READ);
      assertTrue(proxy.nextAttemptEnded().done());
      long before = System.nanoTime();
      proxy.proxy.shutDownGracefully();
      double took = (System.nanoTime() - before) / 1e6;
      assertTrue(took > 1400 && took < 1700, "waited until shortly before the SIGKILL: " + took);
    }
  }
}

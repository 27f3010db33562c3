package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.BanChanged;
import beampoint.Balancer.ColdShareChanged;
import beampoint.Balancer.SettingsChanged;
import beampoint.Stub;
import beampoint.TestHeap;
import beampoint.count.Counter;
import beampoint.ops.AdminServer;
import beampoint.serve.ProxyFixture.Client;
import beampoint.serve.ProxyFixture.ScriptedModule;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Operators' calls to a proxy over sockets, and the state that two processes of one proxy share. */
@Timeout(30)
class OperationsTest {

  private static final int PIPELINED_REQUESTS = 32; // that are open on a connection at most

  private static final int TRANSITION_MS = 3000; // the longest deadline, and 2 s

  @TempDir
  private Path directory;
  private final ScriptedModule module = new ScriptedModule();

  private Config config(int sockets, String discovery) throws Exception {
    List<String> hosts = List.of(ProxyFixture.host("cache", Stub.nobody(), "m2"),
        ProxyFixture.host("origin", Stub.nobody(), "origin"));
    return ProxyFixture.config(hosts, sockets, discovery, ProxyFixture.SETTINGS, "127.0.0.1:0");
  }

  private Proxy proxy(ScriptedModule proxyModule, int sockets) throws Exception {
    Proxy proxy = new Proxy(config(sockets, Stub.nobody()), settings -> proxyModule, directory);
    proxy.start();
    return proxy;
  }

  private static String status(Proxy proxy, String call) throws Exception {
    try (Client caller = new Client(proxy.opsPort())) {
      return caller.request(call + " HTTP/1.1\r\nHost: ops\r\n\r\n").split(" ")[1];
    }
  }

  @Test
  void aNodeIsBannedAndUsedAgainAndTheModuleIsInformedFirst() throws Exception {
    Proxy proxy = proxy(module, 384);
    try {
      assertEquals("200", status(proxy, "GET /_ready"));
      assertEquals("200", status(proxy, "POST /_cache-nodes/detach/cache"));
      String since = Files.readString(stored()).replaceAll(".*\"since\":([0-9.E+]+).*", "$1");
      assertEquals(new BanChanged("cache", true, Double.parseDouble(since)), module.next(BanChanged.class));
      assertEquals("200", status(proxy, "POST /_cache-nodes/detach/cac%68e"));
      assertEquals("200", status(proxy, "POST /_cache-nodes/attach/cache"));
      assertTrue(module.next(BanChanged.class).out(), "the module is informed again, with the same time");
      assertTrue(module.next(BanChanged.class).out());
      assertEquals(false, module.next(BanChanged.class).out());
      assertEquals(2, proxy.counters().get(Counter.NODES_OUT));
    } finally {
      proxy.stop();
    }
  }

  /** Guards against a module that forgets a ban: the invariant is checked where actions are carried out. */
  @Test
  void sendingToABannedNodeViolatesAnInvariant() throws Exception {
    Proxy proxy = proxy(module, 384);
    module.script = event -> event instanceof Balancer.RequestReceived e
        ? List.of(new Balancer.Send(e.id(), "cache", 0)) : List.of();
    try (Client client = new Client(proxy.port())) {
      assertEquals("200", status(proxy, "POST /_cache-nodes/detach/cache"));
      assertEquals("SERVER_ERROR failed", client.request("mg 1 v O1 Pc=read,d=100\r\n"));
      assertEquals(0, proxy.counters().get(Counter.ATTEMPTS_SENT), "an assertion prevents it");
    } finally {
      proxy.stop();
    }
  }

  private Path stored() throws Exception {
    try (var files = Files.list(directory)) {
      return files.filter(f -> f.toString().endsWith(".bans.json")).findFirst().orElseThrow();
    }
  }

  @Test
  void invalidCallsAreRejectedAtOnce() throws Exception {
    Proxy proxy = proxy(module, 384);
    try {
      String[][] calls = {{"POST /_cache-nodes/detach/none", "404"},
          {"POST /_cache-nodes/attach/none", "404"},
          {"POST /_cache-nodes/detach/origin", "404"}, {"POST /_cache-nodes/detach/", "404"},
          {"GET /_cache-nodes/detach/cache", "405"}, {"POST /_ready", "405"}, {"GET /", "404"},
          {"POST /_cache-nodes/detach/%", "400"}, {"hello", "400"}, {"GET /" + "x".repeat(20_000), "400"}};
      for (String[] call : calls) {
        assertEquals(call[1], status(proxy, call[0]), call[0].substring(0, Math.min(40, call[0].length())));
      }
    } finally {
      proxy.stop();
    }
  }

  /** Guards against operators that never finish a call, and clients that hold all connections they may. */
  @Test
  void aValidCallIsAnsweredBesideUnfinishedOnesWhileClientsHoldAllTheyMay() throws Exception {
    Proxy proxy = proxy(module, 100);
    List<Client> open = new ArrayList<>();
    try {
      for (int i = 0; i < 60; i++) {
        open.add(new Client(proxy.port()));
        open.get(i).send("mg 1 v O" + i + " Pc=read,d=20000\r\n");
      }
      for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
        open.add(new Client(proxy.opsPort()));
        open.get(60 + i).send("POST /_cache-nodes/det");
        assertEquals("200", status(proxy, "GET /_ready"));
      }
      assertNull(open.get(60).line(), "the call that was unfinished for longest was closed");
      assertTrue(proxy.counters().get(Counter.OPS_CALLS_UNFINISHED) > 0);
    } finally {
      for (Client client : open) {
        client.close();
      }
      proxy.stop();
    }
  }

  @Test
  void aSuccessorKnowsTheBansBeforeItsFirstList() throws Exception {
    Proxy old = proxy(module, 384);
    ScriptedModule next = new ScriptedModule();
    Proxy successor = null;
    try {
      assertEquals("200", status(old, "POST /_cache-nodes/detach/cache"));
      successor = proxy(next, 384);
      assertTrue(next.events.take() instanceof BanChanged ban && ban.out(), "before any list");
      assertEquals(0.5, next.next(ColdShareChanged.class).part());
      assertEquals(0.5, module.next(ColdShareChanged.class).part());
      assertEquals("200", status(successor, "POST /_cache-nodes/attach/cache"));
      BanChanged change = module.next(BanChanged.class);
      while (change.out()) {
        change = module.next(BanChanged.class); // until the old process has read the file
      }
      assertEquals("cache", change.endpoint());
      old.stop();
      assertEquals(1, next.next(ColdShareChanged.class).part(),
          "the full share, once the other process is gone");
    } finally {
      old.stop();
      if (successor != null) {
        successor.stop();
      }
    }
  }

  /** A proxy that replaces another must not accept clients before it can serve them. */
  @Test
  void clientsAreAcceptedOnlyOnceDiscoveryHasAnswered() throws Exception {
    Stub discovery = new Stub(peer -> {
      peer.head();
      peer.stub().ends.take();
      String list = "{\"seq\":2,\"whole\":true,\"hosts\":["
          + ProxyFixture.host("next", Stub.nobody(), "m2") + "]}\n";
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
      peer.beSilent();
    });
    Proxy proxy = new Proxy(config(384, discovery.address()), settings -> module, directory);
    Thread start = new Thread(() -> {
      try {
        proxy.startWithWarmUp();
      } catch (java.io.IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    try (discovery) {
      start.start();
      assertEquals("GET /discovery/hosts?watch=1&from=1 HTTP/1.1", discovery.nextLine());
      assertEquals("503", status(proxy, "GET /_ready"));
      discovery.ends.add(true);
      start.join(10_000);
      assertEquals("200", status(proxy, "GET /_ready"));
      try (Client client = new Client(proxy.port())) {
        assertEquals("MN", client.request("mn\r\n"));
      }
    } finally {
      proxy.stop();
    }
  }

  private Config withSettings(Config config, String settings) throws Exception {
    List<String> hosts = List.of(ProxyFixture.host("cache", Stub.nobody(), "m2"),
        ProxyFixture.host("origin", Stub.nobody(), "origin"));
    return ProxyFixture.config(hosts, 384, "127.0.0.1:" + config.discovery().getPort(), settings,
        "127.0.0.1:0");
  }

  /** New classes are known at once, removed ones for a while; an incomplete configuration changes nothing. */
  @Test
  void newSettingsApplyAtOnceAndAnIncompleteFileChangesNothing() throws Exception {
    Config config = config(384, Stub.nobody());
    Proxy proxy = new Proxy(config, settings -> module, directory);
    proxy.start();
    module.script = event -> event instanceof Balancer.RequestReceived e
        ? List.of(new Balancer.Refuse(e.id(), 0)) : List.of();
    try (Client client = new Client(proxy.port())) {
      assertEquals("CLIENT_ERROR unknown class", client.request("mg 1 v O1 Pc=new,d=400\r\n"));
      proxy.reload(withSettings(config, ProxyFixture.SETTINGS.replace("\"retry-after\":true,", "")
          .replace("\"name\":\"put\"", "\"name\":\"new\"")));
      proxy.reload(withSettings(config, ProxyFixture.SETTINGS.replace("\"max-attempts\":3,", "")));
      assertEquals("CLIENT_ERROR unknown class", client.request("mg 1 v O2 Pc=new,d=400\r\n"));
      assertEquals(2, proxy.counters().get(Counter.CONFIG_REJECTED));
      proxy.reload(withSettings(config, ProxyFixture.SETTINGS.replace("\"name\":\"put\"", "\"name\":\"new\"")
          .replace("\"max-attempts\":3", "\"max-attempts\":1")));
      SettingsChanged changed = module.next(SettingsChanged.class);
      assertEquals(List.of(0, -1, 1), changed.formerClasses());
      assertEquals(1, changed.settings().limits().maxAttempts());
      assertEquals("SERVER_ERROR busy", client.request("mg 1 v O3 Pc=new,d=400\r\n"));
      assertEquals("SERVER_ERROR busy", client.request("mg 1 v O4 Pc=put,d=400\r\n"), "still accepted");
      assertEquals(List.of(0, 1), module.next(SettingsChanged.class).formerClasses(), "removed in the end");
      assertEquals("CLIENT_ERROR unknown class", client.request("mg 1 v O5 Pc=put,d=400\r\n"));
    } finally {
      proxy.stop();
    }
  }

  /** An open request keeps the maximum of attempts under which it was accepted; the next has the new one. */
  @Test
  void aRequestThatIsOpenWhileSettingsChangeKeepsItsMaxAttempts() throws Exception {
    try (Stub cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.stub().ends.take();
        peer.say("SERVER_ERROR busy\r\n");
      }
    })) {
      List<String> hosts = List.of(ProxyFixture.host("cache", cache.address(), "m2"));
      Config config = ProxyFixture.config(hosts, 384, Stub.nobody(), ProxyFixture.SETTINGS, "127.0.0.1:0");
      Proxy proxy = new Proxy(config, settings -> module, directory);
      proxy.start();
      module.script = event -> event instanceof Balancer.RequestReceived e
          ? List.of(new Balancer.Send(e.id(), "cache", 0))
          : event instanceof Balancer.AttemptEnded e
              ? List.of(
                  e.attempt() < 1 ? new Balancer.Send(e.id(), "cache", 0) : new Balancer.Refuse(e.id(), 0))
          : List.of();
      try (Client client = new Client(proxy.port())) {
        client.send("mg 1 v O1 Pc=read,d=5000\r\n");
        cache.nextLine();
        proxy.reload(withSettings(config,
            ProxyFixture.SETTINGS.replace("\"max-attempts\":3", "\"max-attempts\":1")));
        module.next(SettingsChanged.class);
        cache.ends.add(true);
        cache.nextLine();
        cache.ends.add(true);
        assertEquals("SERVER_ERROR busy", client.line());
        assertEquals(Balancer.Result.FULL, module.next(Balancer.AttemptEnded.class).result());
        assertEquals(Balancer.Result.FULL, module.next(Balancer.AttemptEnded.class).result());
        cache.ends.add(true);
        assertEquals("SERVER_ERROR busy", client.request("mg 1 v O2 Pc=read,d=5000\r\n"));
        assertEquals(Balancer.Result.FULL, module.next(Balancer.AttemptEnded.class).result());
        assertEquals(Balancer.Result.NOT_SENT, module.next(Balancer.AttemptEnded.class).result());
      } finally {
        proxy.stop();
      }
    }
  }

  /**
   * Guards against the rules of another class for a request that is taken up just before new settings are
   * applied and begun just after: writes that must not run twice did. The script makes it so that the last
   * request, for which there is no room at first, is taken up in the task before the reload.
   */
  @Test
  void aRequestThatIsTakenUpWhileSettingsChangeHasTheRulesOfItsClass() throws Exception {
    Config config = ProxyFixture.config(List.of(), 384, Stub.nobody(), ProxyFixture.SETTINGS, "127.0.0.1:0");
    Config next = withSettings(config, ProxyFixture.SETTINGS.replace("{\"name\":\"put\"",
        "{\"name\":\"added\",\"idempotency\":\"safe\",\"target-ms\":500,\"hard-limit-ms\":1000},"
            + "{\"name\":\"put\""));
    Proxy proxy = new Proxy(config, settings -> module, directory);
    refuseAllAndRunAtTheSecond(() -> proxy.reload(next));
    proxy.start();
    try (Client client = new Client(proxy.port())) {
      sendMoreWritesThanMayBeOpen(client);
      for (int i = 1; i <= PIPELINED_REQUESTS + 1; i++) {
        assertEquals("SERVER_ERROR busy", client.line());
      }
      SettingsChanged changed = module.next(SettingsChanged.class);
      Balancer.RequestReceived last = module.next(Balancer.RequestReceived.class);
      assertEquals(PIPELINED_REQUESTS + 1, last.id());
      assertEquals(Balancer.Idempotency.KEYED,
          changed.settings().classes().get(last.requestClass()).idempotency());
    } finally {
      proxy.stop();
    }
  }

  /**
   * Guards against a request that gets another class's rules, or no answer, if its class is dropped between
   * its acceptance and its begin. The thread is busy as the change is due, which queues it between the two.
   */
  @Test
  void aRequestWhoseClassIsDroppedBeforeItBeginsIsFailed() throws Exception {
    Config config = ProxyFixture.config(List.of(), 384, Stub.nobody(), ProxyFixture.SETTINGS, "127.0.0.1:0");
    Config next =
        withSettings(config, ProxyFixture.SETTINGS.replace("\"name\":\"put\"", "\"name\":\"new\""));
    Proxy proxy = new Proxy(config, settings -> module, directory);
    refuseAllAndRunAtTheSecond(() -> ProxyFixture.sleep(TRANSITION_MS));
    proxy.start();
    proxy.reload(next);
    module.next(SettingsChanged.class);
    try (Client client = new Client(proxy.port())) {
      sendMoreWritesThanMayBeOpen(client);
      for (int i = 1; i <= PIPELINED_REQUESTS; i++) {
        assertEquals("SERVER_ERROR busy", client.line());
      }
      assertEquals("SERVER_ERROR failed", client.line());
      module.next(SettingsChanged.class);
      assertEquals(0, proxy.counters().get(Counter.LOGIC_EXCEPTIONS));
    } finally {
      proxy.stop();
    }
  }

  /** Makes the module refuse every request, and run a task on the decision thread at the second one. */
  private void refuseAllAndRunAtTheSecond(Runnable task) {
    module.script = event -> {
      if (event instanceof Balancer.RequestReceived e) {
        if (e.id() == 2) {
          task.run();
        }
        return List.of(new Balancer.Refuse(e.id(), 0));
      }
      return List.of();
    };
  }

  /** Sends writes at once, the last of which is accepted only when the first one is answered. */
  private static void sendMoreWritesThanMayBeOpen(Client client) throws Exception {
    StringBuilder writes = new StringBuilder();
    for (int i = 1; i <= PIPELINED_REQUESTS + 1; i++) {
      writes.append(ProxyFixture.WRITE.replace("O9b", "O" + i));
    }
    client.send(writes.toString());
  }

  /** Guards against many idle connections that fill the memory: each may hold only little of it. */
  @Test
  void anIdleConnectionCostsLittleMemory() throws Exception {
    Proxy proxy = proxy(module, 2000);
    List<SocketChannel> open = new ArrayList<>();
    try {
      connect(proxy, open, 50); // the first connections also pay one-time costs
      double before = TestHeap.usedBytes();
      connect(proxy, open, 350);
      double bytesEach = (TestHeap.usedBytes() - before) / 300;
      assertTrue(bytesEach < 6 * 1024, "bytes per connection, both its ends in this process: " + bytesEach);
    } finally {
      for (SocketChannel client : open) {
        client.close();
      }
      proxy.stop();
    }
  }

  private static void connect(Proxy proxy, List<SocketChannel> open, int upTo) throws Exception {
    ByteBuffer bytes = ByteBuffer.allocate(4);
    while (open.size() < upTo) {
      SocketChannel client = SocketChannel.open(new InetSocketAddress("127.0.0.1", proxy.port()));
      open.add(client);
      client.write(ByteBuffer.wrap("mn\r\n".getBytes(StandardCharsets.ISO_8859_1)));
      while (bytes.hasRemaining()) {
        assertTrue(client.read(bytes) > 0);
      }
      bytes.clear();
    }
  }
}

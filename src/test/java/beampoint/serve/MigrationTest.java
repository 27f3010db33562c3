package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.policy.BalancerPolicy;
import beampoint.Stub;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** During a migration, proxies with the old and with the new settings serve from the same cache nodes. */
class MigrationTest {

  private static final int CACHES = 6;
  private static final int PROXIES_PER_KIND = 2; // the kinds are old and new settings
  private static final int CLIENTS_PER_PROXY = 4;
  private static final int READS_PER_CLIENT = 150; // every tenth is followed by a write
  private static final double GRACE_MS = 250;

  /** Probes, no load reports, crossing zones is free. */
  private static final String OLD_SETTINGS = settings("\"probes\":true", "");
  /** Load reports with answers, hedged requests, no probes; connections and crossing zones have prices. */
  private static final String NEW_SETTINGS = settings("\"probes\":false,\"second-copies\":true",
      "\"telemetry\":{\"source\":\"inline\",\"columns\":[\"depth\",\"load_share\"]},"
          + "\"prices\":{\"connection\":0.03,\"handshake\":0.03,\"cross-zone\":0.02},");

  private static String settings(String limits, String extra) {
    return "{\"discovery\":\"automatic\",\"siblings\":4,\"zone\":0,\"localities\":[\"a\",\"b\"],"
        + "\"skus\":[\"m2\",\"origin\"],\"family-info\":{\"mode\":\"aside\",\"origin-kind\":1}," + extra
        + "\"policy-limits\":{\"max-attempts\":4," + limits + ",\"retry-after\":true,"
        + "\"max-retry-after-ms\":300,\"connect-timeout-ms\":1000,\"conn-idle-ms\":60000},"
        + "\"rules\":{\"drain-grace-ms\":" + GRACE_MS + "},"
        + "\"lanes\":[{\"name\":\"read\",\"idempotency\":\"safe\",\"target-ms\":2000,\"hard-limit-ms\":4000},"
        + "{\"name\":\"put\",\"idempotency\":\"unsafe\",\"target-ms\":2000,\"hard-limit-ms\":4000}],"
        + "\"accounts\":[{\"name\":\"acme\",\"quota-per-s\":5000}]}";
  }

  private final Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();
  private final CountDownLatch drainBegins = new CountDownLatch(1);
  private final AtomicInteger drainsSent = new AtomicInteger();
  private volatile long drainSentAt = Long.MAX_VALUE;
  private final AtomicInteger lateRequests = new AtomicInteger();

  /** A cache node with two slots that has every key, and reports how many requests wait. */
  private Stub cache(boolean drains) throws IOException {
    Semaphore slots = new Semaphore(2, true);
    return new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        if (line.startsWith("mn")) {
          peer.say("MN\r\n");
          continue;
        }
        if (drains && System.nanoTime() - drainSentAt > (GRACE_MS + 50) * 1e6) {
          lateRequests.incrementAndGet();
        }
        String report = " Lqueue=" + slots.getQueueLength() + ",util=" + (2 - slots.availablePermits()) / 2.0;
        slots.acquire();
        long until = System.nanoTime() + 1_000_000;
        while (System.nanoTime() < until) {
          Thread.onSpinWait(); // the work of a request
        }
        slots.release();
        peer.say("VA 2 " + wordStartingWith(line, 'O') + " h1" + report + "\r\nhi\r\n");
      }
    });
  }

  private static String wordStartingWith(String line, char first) {
    for (String word : line.split(" ")) {
      if (word.charAt(0) == first) {
        return word;
      }
    }
    throw new IllegalArgumentException(line);
  }

  private Stub origin() throws IOException {
    return new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        Map<String, String> fields = new HashMap<>();
        for (String line : head.split("\n")) {
          int colon = line.indexOf(':');
          if (colon > 0) {
            fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
          }
        }
        peer.bytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        if (head.startsWith("PUT")) {
          effects.computeIfAbsent(fields.get("req-id"), id -> new AtomicInteger()).incrementAndGet();
        }
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    });
  }

  /** A discovery that reports a drain once half of the reads are answered. */
  private Stub discovery(String drain) throws IOException {
    return new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
      drainBegins.await();
      peer.say(Integer.toHexString(drain.length()) + "\r\n" + drain + "\r\n");
      if (drainsSent.incrementAndGet() == 2 * PROXIES_PER_KIND) {
        drainSentAt = System.nanoTime();
      }
      peer.beSilent();
    });
  }

  private final AtomicInteger reads = new AtomicInteger();

  /** Sends a client's reads and writes one after the other; returns how many reads were served. */
  private int runClient(int port, String name) throws IOException {
    int served = 0;
    try (ProxyFixture.Client client = new ProxyFixture.Client(port)) {
      for (int i = 0; i < READS_PER_CLIENT; i++) {
        String id = name + "-" + i;
        String answer = client.request("mg key" + (i * 7 % 90) + " v O" + id + " Pc=read,t=acme,d=4000\r\n");
        if (answer.startsWith("VA 2 O" + id)) {
          assertEquals("hi", client.line());
          served++;
        } else {
          assertTrue(answer.startsWith("SERVER_ERROR busy"), answer);
        }
        if (i % 10 == 0) {
          String put = client.request("ms key" + i + " 2 Ow" + id + " Pc=put,t=acme,d=4000\r\nxy\r\n");
          assertTrue(put.startsWith("HD") || put.startsWith("SERVER_ERROR"), put);
        }
        if (reads.incrementAndGet() == 2 * PROXIES_PER_KIND * CLIENTS_PER_PROXY * READS_PER_CLIENT / 2) {
          drainBegins.countDown();
        }
      }
    }
    return served;
  }

  /** Guards against a load report read as an answer, or passed to a module whose settings name no columns. */
  @Test
  void aLoadReportReachesTheModuleOnlyIfTheSettingsNameItsColumns() throws Exception {
    for (String settings : List.of(NEW_SETTINGS, OLD_SETTINGS)) {
      ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
      try (Stub cache = cache(false); Stub silent = new Stub(Stub.Peer::beSilent)) {
        List<String> hosts = List.of(ProxyFixture.host("cache", cache.address(), "m2"));
        Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, silent.address(), settings), s -> module);
        module.script = event -> event instanceof Balancer.RequestReceived e
            ? List.of(new Balancer.Send(e.id(), "cache", 0)) : List.of();
        proxy.start();
        try (ProxyFixture.Client client = new ProxyFixture.Client(proxy.port())) {
          assertEquals("VA 2 O1", client.request("mg key v O1 Pc=read,t=acme,d=4000\r\n"));
          Balancer.AttemptEnded ended = module.next(Balancer.AttemptEnded.class);
          assertEquals(settings.equals(NEW_SETTINGS) ? new Balancer.Load(0, 0) : null, ended.load());
        } finally {
          proxy.stop();
        }
      }
    }
  }

  @Test
  void instancesWithOldAndNewSettingsKeepTheRulesAndNeitherKindStarvesTheOther() throws Exception {
    List<Stub> stubs = new ArrayList<>();
    List<Proxy> proxies = new ArrayList<>();
    ExecutorService clients = Executors.newCachedThreadPool();
    try {
      List<String> hosts = new ArrayList<>();
      for (int i = 0; i < CACHES; i++) {
        stubs.add(cache(i == 0));
        hosts.add(ProxyFixture.host("cache-" + i, stubs.get(i).address(), "m2")
            .replace("\"site\":\"a\"", "\"site\":\"" + (i % 2 == 0 ? "a" : "b") + "\""));
      }
      stubs.add(origin());
      hosts.add(ProxyFixture.host("origin", stubs.get(CACHES).address(), "origin"));
      String drain = "{\"seq\":2,\"whole\":false,\"hosts\":[" + hosts.get(0).replace("Ready", "Terminating")
          + "]}\n";
      stubs.add(discovery(drain));
      List<List<Future<Integer>>> kinds = List.of(new ArrayList<>(), new ArrayList<>());
      for (int p = 0; p < 2 * PROXIES_PER_KIND; p++) {
        Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, stubs.get(CACHES + 1).address(),
            p % 2 == 0 ? OLD_SETTINGS : NEW_SETTINGS), BalancerPolicy::new);
        proxies.add(proxy);
        proxy.start();
        for (int c = 0; c < CLIENTS_PER_PROXY; c++) {
          String name = "p" + p + "c" + c;
          Callable<Integer> client = () -> runClient(proxy.port(), name);
          kinds.get(p % 2).add(clients.submit(client));
        }
      }
      int[] served = new int[2];
      for (int kind = 0; kind < 2; kind++) {
        for (Future<Integer> each : kinds.get(kind)) {
          served[kind] += each.get(60, TimeUnit.SECONDS);
        }
      }
      double expected = PROXIES_PER_KIND * CLIENTS_PER_PROXY * READS_PER_CLIENT;
      assertTrue(Math.min(served[0], served[1]) >= 0.9 * expected, "old " + served[0] + ", new " + served[1]
          + " of " + expected + " each");
      assertEquals(0, lateRequests.get(), "requests sent to a drained cache node");
      effects.forEach((id, count) -> assertEquals(1, count.get(), "effects of " + id));
      assertTrue(effects.size() >= 0.9 * 2 * PROXIES_PER_KIND * CLIENTS_PER_PROXY * READS_PER_CLIENT / 10,
          "writes: " + effects.size());
      for (Proxy proxy : proxies) {
        assertTrue(proxy.counters().toString().contains("invariants_broken=0"), proxy.counters().toString());
        assertTrue(proxy.counters().toString().contains("answers_overdue=0"), proxy.counters().toString());
      }
    } finally {
      clients.shutdownNow();
      for (Proxy proxy : proxies) {
        proxy.stop();
      }
      for (Stub stub : stubs) {
        stub.close();
      }
    }
  }
}

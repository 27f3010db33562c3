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

/** During a move proxies of the old shape and of the new one stand before the same cache nodes. */
class MigrationTest {

  private static final int CACHES = 6;
  private static final int EACH = 2; // proxies of a kind
  private static final int CLIENTS = 4; // of a proxy
  private static final int READS = 150; // of a client, and one write in ten beside them
  private static final double GRACE_MS = 250;

  /** Probes, no reports, crossing zones is free. */
  private static final String OLD = settings("\"probes\":true", "");
  /** Reports with answers, second copies, no probes; connections and crossing zones cost. */
  private static final String NEW = settings("\"probes\":false,\"second-copies\":true",
      "\"telemetry\":{\"source\":\"inline\",\"columns\":[\"depth\",\"load_share\"]},"
          + "\"prices\":{\"connection\":0.03,\"handshake\":0.03,\"cross-zone\":0.02},");

  private static String settings(String limits, String more) {
    return "{\"discovery\":\"automatic\",\"siblings\":4,\"zone\":0,\"localities\":[\"a\",\"b\"],"
        + "\"skus\":[\"m2\",\"origin\"],\"family-info\":{\"mode\":\"aside\",\"origin-kind\":1}," + more
        + "\"policy-limits\":{\"max-attempts\":4," + limits + ",\"retry-after\":true,"
        + "\"max-retry-after-ms\":300,\"connect-timeout-ms\":1000,\"conn-idle-ms\":60000},"
        + "\"rules\":{\"drain-grace-ms\":" + GRACE_MS + "},"
        + "\"lanes\":[{\"name\":\"read\",\"idempotency\":\"safe\",\"target-ms\":2000,\"hard-limit-ms\":4000},"
        + "{\"name\":\"put\",\"idempotency\":\"unsafe\",\"target-ms\":2000,\"hard-limit-ms\":4000}],"
        + "\"accounts\":[{\"name\":\"acme\",\"quota-per-s\":5000}]}";
  }

  private final Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();
  private final CountDownLatch drained = new CountDownLatch(1);
  private final AtomicInteger told = new AtomicInteger();
  private volatile long toldAt = Long.MAX_VALUE;
  private final AtomicInteger late = new AtomicInteger();

  /** A cache node with two slots that holds every key, and says how many wait. */
  private Stub cache(boolean drains) throws IOException {
    Semaphore slots = new Semaphore(2, true);
    return new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        if (line.startsWith("mn")) {
          peer.say("MN\r\n");
          continue;
        }
        if (drains && System.nanoTime() - toldAt > (GRACE_MS + 50) * 1e6) {
          late.incrementAndGet();
        }
        String report = " Lqueue=" + slots.getQueueLength() + ",util=" + (2 - slots.availablePermits()) / 2.0;
        slots.acquire();
        long until = System.nanoTime() + 1_000_000;
        while (System.nanoTime() < until) {
          Thread.onSpinWait(); // the work of a request
        }
        slots.release();
        peer.say("VA 2 " + word(line, 'O') + " h1" + report + "\r\nhi\r\n");
      }
    });
  }

  private static String word(String line, char first) {
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

  /** Tells of a drain once half of the reads are answered. */
  private Stub discovery(String drain) throws IOException {
    return new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
      drained.await();
      peer.say(Integer.toHexString(drain.length()) + "\r\n" + drain + "\r\n");
      if (told.incrementAndGet() == 2 * EACH) {
        toldAt = System.nanoTime();
      }
      peer.beSilent();
    });
  }

  private final AtomicInteger reads = new AtomicInteger();

  /** A client's reads and writes, one after the other; how many were served, and what else came. */
  private int talk(int port, String name) throws IOException {
    int served = 0;
    try (ProxyFixture.Client client = new ProxyFixture.Client(port)) {
      for (int i = 0; i < READS; i++) {
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
        if (reads.incrementAndGet() == 2 * EACH * CLIENTS * READS / 2) {
          drained.countDown();
        }
      }
    }
    return served;
  }

  /** Guards against a report that is taken for an answer, or reaches a module whose settings name none. */
  @Test
  void aReportReachesTheModuleOnlyWhereTheSettingsNameItsColumns() throws Exception {
    for (String settings : List.of(NEW, OLD)) {
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
          assertEquals(settings.equals(NEW) ? new Balancer.Load(0, 0) : null, ended.load());
        } finally {
          proxy.stop();
        }
      }
    }
  }

  @Test
  void instancesOfBothShapesKeepTheRulesAndNeitherStarvesTheOther() throws Exception {
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
      for (int p = 0; p < 2 * EACH; p++) {
        Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, stubs.get(CACHES + 1).address(),
            p % 2 == 0 ? OLD : NEW), BalancerPolicy::new);
        proxies.add(proxy);
        proxy.start();
        for (int c = 0; c < CLIENTS; c++) {
          String name = "p" + p + "c" + c;
          Callable<Integer> talk = () -> talk(proxy.port(), name);
          kinds.get(p % 2).add(clients.submit(talk));
        }
      }
      int[] served = new int[2];
      for (int kind = 0; kind < 2; kind++) {
        for (Future<Integer> each : kinds.get(kind)) {
          served[kind] += each.get(60, TimeUnit.SECONDS);
        }
      }
      double all = EACH * CLIENTS * READS;
      assertTrue(Math.min(served[0], served[1]) >= 0.9 * all, "old " + served[0] + ", new " + served[1]
          + " of " + all + " each");
      assertEquals(0, late.get(), "sent to a drained cache node");
      effects.forEach((id, count) -> assertEquals(1, count.get(), "effects of " + id));
      assertTrue(effects.size() >= 0.9 * 2 * EACH * CLIENTS * READS / 10, "writes: " + effects.size());
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

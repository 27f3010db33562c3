package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.policy.BalancerPolicy;
import beampoint.serve.ProxyFixture.Client;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists of hundreds and thousands of hosts, from a socket to the decision module. */
@Timeout(60)
class LargeListTest {

  private static final int CHUNK_BYTES = 1_000; // so that a list arrives in many pieces
  private final LinkedBlockingQueue<ListReceived> lists = new LinkedBlockingQueue<>();

  /** The decision module that proxies use; every list is recorded once the module has handled it. */
  private Balancer recording(Balancer.Settings settings) {
    Balancer policy = new BalancerPolicy(settings);
    return (now, event) -> {
      List<Balancer.Action> actions = policy.handle(now, event);
      if (event instanceof ListReceived list && list.kind() != ListKind.UNCONFIRMED) {
        lists.add(list);
      }
      return actions;
    };
  }

  private static String list(int version, boolean whole, List<String> hosts) {
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
  }

  private static List<String> hosts(int caches, String cache, String origin) {
    List<String> hosts = IntStream.range(0, caches)
        .mapToObj(i -> ProxyFixture.host("cache-" + i, cache, "m2")).collect(Collectors.toList());
    hosts.add(ProxyFixture.host("origin", origin, "origin"));
    return hosts;
  }

  private static String indented(String json) {
    return new GsonBuilder().setPrettyPrinting().create().toJson(JsonParser.parseString(json));
  }

  private static void sendChunked(Stub.Peer peer, String text) throws java.io.IOException {
    for (int from = 0; from < text.length(); from += CHUNK_BYTES) {
      String part = text.substring(from, Math.min(text.length(), from + CHUNK_BYTES));
      peer.say(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
    }
  }

  /** Checks that a whole list, and then a change of one host, are received; then a request is answered. */
  private void receiveListAndChange(int caches, UnaryOperator<String> format) throws Exception {
    String value = "VA 1 O1\r\nx\r\n";
    CountDownLatch changed = new CountDownLatch(1);
    CompletableFuture<List<String>> announced = new CompletableFuture<>();
    try (Stub cache = new Stub(peer -> {
      while (peer.line() != null) {
        peer.say(value);
      }
    }); Stub origin = new Stub(Stub.Peer::beSilent); Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      List<String> hosts = announced.join();
      sendChunked(peer, format.apply(list(2, true, hosts)) + "\n");
      changed.await();
      String last = hosts.get(caches - 1).replace("Ready", "Terminating");
      sendChunked(peer, format.apply(list(3, false, List.of(last))) + "\n");
      peer.beSilent();
    })) {
      List<String> hosts = hosts(caches, cache.address(), origin.address());
      announced.complete(hosts);
      Config config = ProxyFixture.config(hosts.subList(0, 1), 1024, discovery.address());
      Proxy proxy = new Proxy(config, this::recording);
      try {
        proxy.start();
        ListReceived whole = lists.poll(20, TimeUnit.SECONDS);
        assertEquals(ListKind.FULL, whole.kind());
        assertEquals(caches + 1, whole.endpoints().size());
        assertEquals("cache-" + (caches - 1), whole.endpoints().get(caches - 1).id());
        changed.countDown();
        ListReceived change = lists.poll(20, TimeUnit.SECONDS);
        assertEquals(ListKind.CHANGES, change.kind());
        assertEquals(EndpointState.DRAINING, change.endpoints().get(0).state());
        try (Client client = new Client(proxy.port())) {
          assertEquals("VA 1 O1", client.request("mg 1 v O1 Pc=read,t=acme,d=5000\r\n"));
        }
        assertEquals(0, proxy.counters().get(Counter.LOGIC_EXCEPTIONS));
      } finally {
        proxy.stop();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 610, 1_500, 4_096})
  void aListOfAnyPlannedSizeAndAChangeOfOneHostAreReceived(int caches) throws Exception {
    receiveListAndChange(caches, UnaryOperator.identity());
  }

  @Test
  void aListOfTheLargestSizeMayBeIndented() throws Exception {
    assertTrue(indented(list(2, true, hosts(1, "a:1", "b:1"))).lines().count() > 20);
    receiveListAndChange(4_096, LargeListTest::indented);
  }
}

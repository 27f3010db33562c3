package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.Stub;
import beampoint.policy.BalancerPolicy;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against sending, while discovery is down, to a node that began to drain before this start. */
@Timeout(30)
class DrainBeforeStartTest {

  private static final int READS = 40;
  private static final long READ_INTERVAL_MS = 25; // a second for all, as long as several calls to discovery
  private static final String VALUE = "value";

  private final CountDownLatch discoveryIsUp = new CountDownLatch(1);
  private Stub cache;
  private Stub origin;
  private Stub discovery;
  private volatile String update; // what discovery sends once it is up
  private Proxy proxy;

  @BeforeEach
  void start() throws Exception {
    cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.say(line.equals("mn") ? "MN\r\n" : "VA 5 " + line.split(" ")[3] + "\r\n" + VALUE + "\r\n");
      }
    });
    origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + VALUE);
      }
    });
    discovery = new Stub(peer -> {
      peer.head();
      discoveryIsUp.await();
      peer.say(ProxyFixture.LIST_HEAD + Integer.toHexString(update.length()) + "\r\n" + update + "\r\n");
      peer.beSilent();
    });
    List<String> known = List.of(ProxyFixture.host("cache", cache.address(), "m2"),
        ProxyFixture.host("origin", origin.address(), "origin"));
    proxy = new Proxy(ProxyFixture.config(known, 1024, discovery.address()), BalancerPolicy::new);
    proxy.start();
  }

  @AfterEach
  void stop() throws Exception {
    proxy.stop();
    cache.close();
    origin.close();
    discovery.close();
  }

  private static String read(Client client, int number) throws Exception {
    String answer = client.request("mg " + number + " v O" + number + " Pc=read,t=acme,d=1000\r\n");
    return answer.startsWith("VA") ? client.line() : answer;
  }

  /** Sends reads one after the other; the origin serves them, unless another answer is expected. */
  private void assertReadsBypassTheCache(Client client, String answer) throws Exception {
    for (int i = 0; i < READS; i++) {
      assertEquals(answer, read(client, i));
      TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
    }
    assertEquals(List.of(), List.copyOf(cache.lines), "requests sent to the cache");
  }

  @Test
  void nothingIsSentToARememberedNodeWhileDiscoveryIsDown() throws Exception {
    update = "{\"seq\":2,\"whole\":false,\"hosts\":["
        + "{\"host\":\"cache\",\"class\":\"m2\",\"health\":\"Terminating\"}]}\n";
    try (Client client = new Client(proxy.port())) {
      assertReadsBypassTheCache(client, VALUE);
      discoveryIsUp.countDown();
      while (read(client, READS).equals(VALUE)) {
        TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
      }
      assertReadsBypassTheCache(client, "SERVER_ERROR busy 700"); // no cache is left
    }
  }

  @Test
  void aRememberedNodeIsUsedOnceDiscoveryReportsNoChange() throws Exception {
    update = "\n";
    try (Client client = new Client(proxy.port())) {
      assertReadsBypassTheCache(client, VALUE);
      discoveryIsUp.countDown();
      while (cache.lines.stream().noneMatch(line -> line.startsWith("mg "))) {
        assertEquals(VALUE, read(client, READS));
      }
    }
  }
}

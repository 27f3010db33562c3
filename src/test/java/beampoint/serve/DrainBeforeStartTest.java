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

/** Guards against sends to a node that was told to drain before this start, while discovery is down. */
@Timeout(30)
class DrainBeforeStartTest {

  private static final int READS = 40;
  private static final long BETWEEN_READS_MS = 25; // a second in all, several calls of discovery long
  private static final String VALUE = "value";

  private final CountDownLatch discoveryIsBack = new CountDownLatch(1);
  private Stub cache;
  private Stub origin;
  private Stub discovery;
  private volatile String news; // what discovery says once it is back
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
      discoveryIsBack.await();
      peer.say(ProxyFixture.LIST_HEAD + Integer.toHexString(news.length()) + "\r\n" + news + "\r\n");
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

  /** Reads all along; the origin serves them where another answer is not expected. */
  private void readAndExpectNothingAtTheCache(Client client, String answer) throws Exception {
    for (int i = 0; i < READS; i++) {
      assertEquals(answer, read(client, i));
      TimeUnit.MILLISECONDS.sleep(BETWEEN_READS_MS);
    }
    assertEquals(List.of(), List.copyOf(cache.lines), "the cache was sent something");
  }

  @Test
  void nothingIsSentToARememberedNodeWhileDiscoveryIsDown() throws Exception {
    news = "{\"seq\":2,\"whole\":false,\"hosts\":["
        + "{\"host\":\"cache\",\"class\":\"m2\",\"health\":\"Terminating\"}]}\n";
    try (Client client = new Client(proxy.port())) {
      readAndExpectNothingAtTheCache(client, VALUE);
      discoveryIsBack.countDown();
      while (read(client, READS).equals(VALUE)) {
        TimeUnit.MILLISECONDS.sleep(BETWEEN_READS_MS);
      }
      readAndExpectNothingAtTheCache(client, "SERVER_ERROR busy 700"); // no cache is left
    }
  }

  @Test
  void aRememberedNodeIsUsedOnceDiscoveryHasNoNews() throws Exception {
    news = "\n";
    try (Client client = new Client(proxy.port())) {
      readAndExpectNothingAtTheCache(client, VALUE);
      discoveryIsBack.countDown();
      while (cache.lines.stream().noneMatch(line -> line.startsWith("mg "))) {
        assertEquals(VALUE, read(client, READS));
      }
    }
  }
}

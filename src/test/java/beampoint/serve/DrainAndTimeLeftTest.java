package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A drain that the host list reports, and the time left that cache nodes are sent. */
@Timeout(30)
class DrainAndTimeLeftTest {

  private static final Pattern TIME_LEFT = Pattern.compile("d=(\\d+)");

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Guards against skipping an entry that has no address, and with it the drain that it reports. */
  @Test
  void aDrainWithoutAnAddressIsADrain() throws Exception {
    String drain = "{\"host\":\"cache\",\"site\":\"a\",\"class\":\"m2\",\"health\":\"Terminating\"}";
    try (Stub cache = new Stub(Stub.Peer::beSilent); Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say(ProxyFixture.LIST_HEAD + chunk("{\"seq\":2,\"whole\":false,\"hosts\":[" + drain + "]}\n"));
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody(), 1024, ProxyFixture.SETTINGS,
        discovery.address())) {
      ListReceived list = proxy.module.next(ListReceived.class);
      assertEquals(ListKind.CHANGES, list.kind());
      assertEquals("cache", list.endpoints().get(0).id());
      assertEquals(EndpointState.DRAINING, list.endpoints().get(0).state());
    }
  }

  /** A cache node is sent the time left until the client's deadline, with a retry too. */
  @Test
  void aRetrySendsTheCacheNodeNoMoreThanTheTimeLeft() throws Exception {
    int firstAttemptMs = 300;
    try (Stub cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        Thread.sleep(firstAttemptMs);
        peer.say("SERVER_ERROR failed\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e && e.attempt() == 0 ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 0)) : List.of();
      long startedAt = System.nanoTime();
      assertEquals("SERVER_ERROR busy", client.request("mg 1 v O1 Pc=read,t=acme,d=2000\r\n"));
      double took = (System.nanoTime() - startedAt) / 1e6;
      int firstTimeLeft = timeLeft(cache.nextLine());
      int retryTimeLeft = timeLeft(cache.nextLine());
      assertTrue(firstTimeLeft <= 2000, "first attempt: " + firstTimeLeft);
      assertTrue(retryTimeLeft <= 2000 - firstAttemptMs, "retry: " + retryTimeLeft);
      assertTrue(retryTimeLeft >= 2000 - took, "retry below time left: " + retryTimeLeft + ", took " + took);
      assertEquals(Result.ERROR, proxy.nextAttemptEnded().result());
    }
  }

  private static int timeLeft(String line) {
    Matcher matcher = TIME_LEFT.matcher(line);
    assertTrue(matcher.find(), line);
    return Integer.parseInt(matcher.group(1));
  }
}

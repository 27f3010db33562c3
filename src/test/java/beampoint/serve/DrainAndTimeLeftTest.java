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

/** What a proxy is told by its list, and what it tells cache nodes of the time that is left. */
@Timeout(30)
class DrainAndTimeLeftTest {

  private static final Pattern WAIT = Pattern.compile("d=(\\d+)");

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Guards against an entry that is left out for want of an address, and the drain that it tells with it. */
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

  /** A cache node is told what is left to the client, also of a further attempt. */
  @Test
  void aFurtherAttemptTellsTheCacheNodeNoMoreThanWhatIsLeftToTheClient() throws Exception {
    int first = 300; // ms that the first attempt takes
    try (Stub cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        Thread.sleep(first);
        peer.say("SERVER_ERROR failed\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e && e.attempt() == 0 ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 0)) : List.of();
      long begun = System.nanoTime();
      assertEquals("SERVER_ERROR busy", client.request("mg 1 v O1 Pc=read,t=acme,d=2000\r\n"));
      double took = (System.nanoTime() - begun) / 1e6;
      int atFirst = told(cache.nextLine());
      int then = told(cache.nextLine());
      assertTrue(atFirst <= 2000, "told at first: " + atFirst);
      assertTrue(then <= 2000 - first, "told then: " + then);
      assertTrue(then >= 2000 - took, "no less than what is left: " + then + ", took " + took);
      assertEquals(Result.ERROR, proxy.nextAttemptEnded().result());
    }
  }

  private static int told(String line) {
    Matcher matcher = WAIT.matcher(line);
    assertTrue(matcher.find(), line);
    return Integer.parseInt(matcher.group(1));
  }
}

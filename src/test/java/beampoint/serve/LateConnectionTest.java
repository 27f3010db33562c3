package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.DelayedListener;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import beampoint.serve.ProxyFixture.ScriptedModule;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A connection to a cache node is established late: what happened before decides what is written to it. */
@Timeout(30)
class LateConnectionTest {

  private static final String READ = "mg 7f3a v O9b Pc=read,t=acme,d=9000\r\n";
  private static final String LONG_TIMEOUT =
      ProxyFixture.SETTINGS.replace("\"connect-timeout-ms\":1000", "\"connect-timeout-ms\":8000");
  private static final int NOTHING = -2;

  private static ProxyFixture proxy(DelayedListener cache, String discovery) throws Exception {
    assertTrue(LONG_TIMEOUT.contains("8000"));
    return new ProxyFixture(cache.address(), Stub.nobody(), 1024, LONG_TIMEOUT, discovery);
  }

  /** Guards against work for a client that disconnected while the connection was being established. */
  @Test
  void aRequestWhoseClientHasGoneIsNotWrittenOnceConnected() throws Exception {
    try (DelayedListener cache = new DelayedListener(); ProxyFixture proxy = proxy(cache, null)) {
      proxy.sendTo("cache");
      try (Client client = new Client(proxy)) {
        client.send(READ);
        proxy.module.next(RequestReceived.class);
      }
      proxy.module.next(RequestGone.class);
      AttemptEnded ended = proxy.nextAttemptEnded();
      assertEquals(Result.NOT_SENT, ended.result());
      assertTrue(ended.done());
      try (Socket late = cache.open()) {
        assertEquals(NOTHING, DelayedListener.readByte(late));
        try (Client next = new Client(proxy)) {
          next.send(READ);
          assertEquals('m', DelayedListener.readByte(late), "the connection serves the next request");
        }
      }
    }
  }

  /** Guards against sending to a draining node after the grace period, as the connection came late. */
  @Test
  void aRequestThatAwaitsAConnectionToADrainingNodeFailsOverAtOnce() throws Exception {
    String draining = ProxyFixture.host("cache", "127.0.0.1:9", "m2").replace("Ready", "Terminating");
    try (DelayedListener cache = new DelayedListener(); Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\n\r\n\n");
      peer.stub().ends.take();
      peer.say("{\"seq\":2,\"whole\":false,\"hosts\":["
          + draining.replace("127.0.0.1:9", cache.address()) + "]}\n");
      peer.beSilent();
    }); ProxyFixture proxy = proxy(cache, discovery.address()); Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(READ);
      proxy.module.next(RequestReceived.class);
      discovery.ends.add(true);
      assertEquals("SERVER_ERROR busy", client.line());
      assertEquals(Result.CONNECT_FAILED, proxy.nextAttemptEnded().result());
      try (Socket late = cache.open()) {
        assertEquals(NOTHING, DelayedListener.readByte(late));
      }
    }
  }

  /** The same for a node that operators have banned. */
  @Test
  void aRequestThatAwaitsAConnectionToABannedNodeFailsOverAtOnce(@TempDir Path directory)
      throws Exception {
    ScriptedModule module = new ScriptedModule();
    module.script = event -> event instanceof RequestReceived e ? List.of(new Send(e.id(), "cache", 0))
        : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 0)) : List.of();
    try (DelayedListener cache = new DelayedListener()) {
      Proxy proxy = new Proxy(ProxyFixture.config(List.of(ProxyFixture.host("cache", cache.address(), "m2")),
          1024, Stub.nobody(), LONG_TIMEOUT, "127.0.0.1:0"), settings -> module, directory);
      proxy.start();
      try (Client client = new Client(proxy.port()); Client operator = new Client(proxy.opsPort())) {
        client.send(READ);
        module.next(RequestReceived.class);
        operator.send("POST /_cache-nodes/detach/cache HTTP/1.1\r\nHost: ops\r\n\r\n");
        assertEquals("SERVER_ERROR busy", client.line());
        try (Socket late = cache.open()) {
          assertEquals(NOTHING, DelayedListener.readByte(late));
        }
      } finally {
        proxy.stop();
      }
    }
  }

  /**
   * Guards against a retry that arrives when its server no longer drops duplicates of it: the time by which
   * it had to begin passed while it awaited its connection.
   */
  @Test
  void anAttemptThatMustNotBeginAnyMoreIsNotWrittenOnceConnected() throws Exception {
    try (DelayedListener cache = new DelayedListener(); ProxyFixture proxy = proxy(cache, null);
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0, System.currentTimeMillis() + 100)) : List.of();
      client.send(READ);
      proxy.module.next(RequestReceived.class);
      Thread.sleep(150); // the test depends on elapsed time, not on the order of events
      try (Socket late = cache.open()) {
        assertEquals(Result.NOT_SENT, proxy.nextAttemptEnded().result());
        assertEquals(NOTHING, DelayedListener.readByte(late));
      }
      assertEquals(1, proxy.proxy.counters().get(Counter.ATTEMPTS_NOT_SENT));
    }
  }
}

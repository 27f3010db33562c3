package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static beampoint.serve.ProxyFixture.WRITE;
import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Event;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import beampoint.serve.ProxyFixture.ScriptedModule;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A write whose id comes again does not run again, in this process or another one of the same proxy. */
@Timeout(30)
class RepeatedIdTest {

  @TempDir
  private Path directory;
  private final AtomicInteger writes = new AtomicInteger();

  /** An origin that counts writes, and answers once the latch is open. */
  private Stub origin(String status, CountDownLatch mayAnswer) throws IOException {
    return new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        peer.bytes(head.startsWith("PUT") ? 5 : 0);
        writes.incrementAndGet();
        mayAnswer.await();
        peer.say("HTTP/1.1 " + status + "\r\nContent-Length: 7\r\n\r\nreceipt");
      }
    });
  }

  private void awaitWrites(int count) {
    while (writes.get() < count) {
      Thread.onSpinWait();
    }
  }

  @Test
  void aWriteWhoseClientHasLeftDoesNotRunAgainUnderItsId() throws Exception {
    CountDownLatch mayAnswer = new CountDownLatch(1);
    try (Stub origin = origin("200 OK", mayAnswer);
        ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address())) {
      proxy.sendTo("origin");
      try (Client client = new Client(proxy)) {
        client.send(WRITE);
        awaitWrites(1);
      }
      mayAnswer.countDown();
      proxy.nextAttemptEnded();
      try (Client client = new Client(proxy)) {
        assertEquals("SERVER_ERROR failed", client.request(WRITE));
        assertEquals("MN", client.request("mn\r\n"));
      }
      assertEquals(1, writes.get());
    }
  }

  @Test
  void whatHasNotRunOrIsSafeMayComeAgain() throws Exception {
    try (Stub origin = origin("503 Busy\r\nSrv-Declined: 1", new CountDownLatch(0));
        ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      for (int i = 1; i <= 3; i++) {
        assertEquals("SERVER_ERROR busy", client.request(WRITE));
        assertEquals("SERVER_ERROR busy", client.request(READ));
        assertEquals(2 * i, writes.get());
      }
    }
  }

  private static List<Action> sendToOrigin(Event event) {
    return event instanceof RequestReceived e ? List.of(new Send(e.id(), "origin", 0))
        : event instanceof AttemptEnded e && !e.done() ? List.of(new Refuse(e.id(), 0)) : List.of();
  }

  private Proxy start(Stub origin, Stub discovery) throws Exception {
    ScriptedModule module = new ScriptedModule();
    module.script = RepeatedIdTest::sendToOrigin;
    Proxy proxy = new Proxy(
        ProxyFixture.config(List.of(ProxyFixture.host("origin", origin.address(), "origin")), 1024,
            discovery.address(), ProxyFixture.SETTINGS, "127.0.0.1:0"),
        settings -> module, directory);
    proxy.start();
    return proxy;
  }

  /** Also while the first process still waits for its answer. */
  @Test
  void aWriteDoesNotRunAgainAtTheOtherProcessOfAnUpgrade() throws Exception {
    CountDownLatch mayAnswer = new CountDownLatch(1);
    try (Stub origin = origin("200 OK", mayAnswer); Stub discovery = ProxyFixture.unchangedDiscovery()) {
      Proxy old = start(origin, discovery);
      Proxy next = start(origin, discovery);
      try (Client client = new Client(old.port()); Client again = new Client(next.port())) {
        client.send(WRITE);
        awaitWrites(1);
        assertEquals("SERVER_ERROR failed", again.request(WRITE));
        mayAnswer.countDown();
        assertEquals("HD O9b creceipt", client.line());
        assertEquals("SERVER_ERROR failed", again.request(WRITE));
        assertEquals(1, writes.get());
      } finally {
        old.stop();
        next.stop();
      }
    }
  }
}

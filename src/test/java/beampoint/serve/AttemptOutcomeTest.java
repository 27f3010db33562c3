package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Cancel;
import beampoint.Balancer.Fail;
import beampoint.Balancer.Probe;
import beampoint.Balancer.ProbeEnded;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.TimerFired;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whatever a peer does leads to the right outcome of an attempt or a probe, and to one only. */
@Timeout(30)
class AttemptOutcomeTest {

  private static AttemptEnded oneRead(String cache) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(cache, Stub.nobody()); Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("SERVER_ERROR busy", client.request(READ));
      return proxy.nextAttemptEnded();
    }
  }

  @Test
  void aRequestThatTheOriginDeclinedIsReportedAsNotRun() throws Exception {
    for (String[] answer : new String[][] {{"503 Busy\r\nSrv-Declined: 1", "FULL"}, {"503 Busy", "ERROR"},
        {"504 Late\r\nSrv-Declined: 1", "FULL"}, {"500 Failed\r\nSrv-Declined: 1", "ERROR"}}) {
      try (Stub origin = new Stub(peer -> {
        peer.head();
        peer.say("HTTP/1.1 " + answer[0] + "\r\nContent-Length: 0\r\n\r\n");
        peer.beSilent();
      }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
          Client client = new Client(proxy)) {
        proxy.sendTo("origin");
        assertEquals("SERVER_ERROR busy", client.request(READ));
        assertEquals(Result.valueOf(answer[1]), proxy.nextAttemptEnded().result(), answer[0]);
      }
    }
  }

  @Test
  void everyAnswerOfACacheNodeHasItsOutcome() throws Exception {
    for (String[] answer : new String[][] {{"EN O9b h0\r\n", "MISS"}, {"SERVER_ERROR busy\r\n", "FULL"},
        {"SERVER_ERROR failed\r\n", "ERROR"}, {"VA 0 Oother\r\n\r\n", "ERROR"}, {"nonsense\r\n", "ERROR"},
        {"EN Oother\r\n", "ERROR"}, {"VA 3000000000\r\nabc", "ERROR"}}) {
      try (Stub cache = ScriptedCache.answering(answer[0])) {
        assertEquals(Result.valueOf(answer[1]), oneRead(cache.address()).result(), answer[0]);
      }
    }
  }

  /**
   * Guards against a malformed or oversized response that passes for a value, and against one that counts as
   * a broken connection.
   */
  @Test
  void aMalformedResponseOfTheOriginIsAnErrorAndInterimOnesAreSkipped() throws Exception {
    String good = "Content-Length: 1\r\n\r\n1";
    for (String[] answer : new String[][] {{"HTTP/1.1 200 OK\r\nno colon\r\n" + good, "ERROR"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n" + "x".repeat(1_048_577), "ERROR"},
        {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + good, "OK"}}) {
      try (Stub origin = new Stub(peer -> {
        peer.head();
        peer.say(answer[0]);
        peer.beSilent();
      }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
          Client client = new Client(proxy)) {
        proxy.sendTo("origin");
        assertEquals(answer[1].equals("OK") ? "VA 1 O9b" : "SERVER_ERROR busy", client.request(READ));
        assertEquals(Result.valueOf(answer[1]), proxy.nextAttemptEnded().result());
      }
    }
  }

  /** Guards against excess bytes behind an answer that corrupt the next answer on the same connection. */
  @Test
  void aConnectionWithBytesBehindTheAnswerIsNotReused() throws Exception {
    String value = "VA 0 O9b\r\n\r\n";
    try (Stub cache = ScriptedCache.answering(value + value); ProxyFixture proxy =
        new ProxyFixture(cache.address(), Stub.nobody()); Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 3; i++) {
        assertEquals("VA 0 O9b", client.request(READ));
        assertEquals("", client.line());
        assertEquals(Result.OK, proxy.nextAttemptEnded().result());
      }
      assertEquals(3, cache.connections());
    }
  }

  /**
   * Guards against reporting a request that never reached a server as one that may have run, which would be
   * failed instead of retried.
   */
  @Test
  void aRefusedConnectionMeansThatTheRequestNeverRan() throws Exception {
    assertEquals(Result.CONNECT_FAILED, oneRead(Stub.nobody()).result());
  }

  /**
   * Guards against a retry of a request that may have run: a connection that breaks after the last byte of
   * the request does not show whether it did.
   */
  @Test
  void aConnectionThatBreaksAfterTheLastByteIsAReset() throws Exception {
    try (Stub cache = new Stub(peer -> {
      peer.line();
      peer.reset();
    })) {
      assertEquals(Result.RESET, oneRead(cache.address()).result());
      assertEquals(1, cache.connections(), "only the module may retry");
    }
  }

  @Test
  void aTruncatedValueIsNoAnswer() throws Exception {
    try (Stub cache = new Stub(peer -> {
      peer.line();
      peer.say("VA 5 O9b\r\nab");
    })) {
      assertEquals(Result.RESET, oneRead(cache.address()).result());
    }
    try (Stub origin = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      assertEquals("SERVER_ERROR busy", client.request(READ));
      assertEquals(Result.RESET, proxy.nextAttemptEnded().result());
    }
  }

  @Test
  void anAttemptAtASilentPeerTimesOutAtTheDeadline() throws Exception {
    try (Stub cache = ScriptedCache.silent();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e ? List.of(new Fail(e.id())) : List.of();
      assertEquals("SERVER_ERROR failed", client.request(READ.replace("4000", "100")));
      AttemptEnded ended = proxy.nextAttemptEnded();
      assertEquals(Result.TIMEOUT, ended.result());
      assertFalse(ended.done());
      assertTrue(ended.elapsed() >= 90 && ended.elapsed() < 1000, "after " + ended.elapsed());
      assertTrue(cache.ends.take(), "the connection is closed, which abandons the attempt");
    }
  }

  @Test
  void anAttemptHasItsOwnTimeoutAndMayBeCancelled() throws Exception {
    try (Stub cache = ScriptedCache.silent();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 300))
          : event instanceof AttemptEnded e && e.attempt() == 0
              ? List.of(new Send(e.id(), "cache", 0), new Cancel(e.id(), 1))
          : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 40)) : List.of();
      assertEquals("SERVER_ERROR busy 40", client.request(READ));
      assertEquals(Result.TIMEOUT, proxy.nextAttemptEnded().result());
      AttemptEnded second = proxy.nextAttemptEnded();
      assertEquals(1, second.attempt());
    }
  }

  @Test
  void theModuleIsInformedOfFiredTimersAndEndedProbes() throws Exception {
    try (Stub cache = ScriptedCache.answering("MN\r\n"); Stub origin = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), origin.address());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new SetTimer(5, e.id()))
          : event instanceof TimerFired e
              ? List.of(new Probe("cache"), new Probe("origin"), new Refuse(e.token(), 700))
          : List.of();
      assertEquals("SERVER_ERROR busy 700", client.request(READ));
      assertEquals(Result.OK, proxy.module.next(ProbeEnded.class).result());
      assertEquals(Result.OK, proxy.module.next(ProbeEnded.class).result());
      assertEquals("mn", cache.nextLine());
      assertEquals("GET /alive HTTP/1.1", origin.nextLine());
    }
  }

  @Test
  void aProbeOfASilentOrMissingPeerFails() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Probe("origin"), new Probe("cache"), new Fail(e.id())) : List.of();
      assertEquals("SERVER_ERROR failed", client.request(READ));
      assertEquals(Result.CONNECT_FAILED, proxy.module.next(ProbeEnded.class).result());
      assertEquals(Result.TIMEOUT, proxy.module.next(ProbeEnded.class).result());
    }
  }
}

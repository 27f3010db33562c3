package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static beampoint.serve.ProxyFixture.WRITE;
import static beampoint.serve.ProxyFixture.reads;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bytes that are in transit while a connection is being closed, on either side of the proxy. */
@Timeout(30)
class ConnectionCloseTest {

  private static final int VALUE_BYTES = 60_000;
  private static final int REQUESTS_OVER_LIMIT = 20_000; // more than may be queued

  /** Guards against a close with unread input, on which the system resets and discards answers in transit. */
  @Test
  void anAnswerInTransitSurvivesACloseWithUnreadInput() throws Exception {
    String value = "x".repeat(VALUE_BYTES);
    try (Stub cache = new Stub(peer -> {
      while (peer.line() != null) {
        peer.say("VA " + VALUE_BYTES + " O9b\r\n" + value + "\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy.port, 4096)) {
      proxy.sendTo("cache");
      client.send(READ + "ms 7f3a x O9c Pc=put,t=acme,d=4000,k=5c\r\n" + "y".repeat(200_000));
      assertTrue(proxy.nextAttemptEnded().done());
      // The client has read nothing so far: the answer is in the system's buffers when the close begins.
      proxy.awaitCount(Counter.BAD_COMMANDS, 1);
      Thread.sleep(200); // reads only once the close has begun and while it still lingers
      assertEquals("VA " + VALUE_BYTES + " O9b", client.line());
      assertEquals(value + "\r\n", client.bytes(VALUE_BYTES + 2));
      assertEquals("CLIENT_ERROR bad data chunk", client.line());
      assertNull(client.line());
    }
  }

  /** Guards against serving the requests of a client that has gone, as the close behind them is not read. */
  @Test
  void aCloseBehindManyRequestsIsSeenWhileTheFirstAreOpen() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < 500; i++) {
        commands.append(READ.replace("O9b", "O" + i));
      }
      try (Client client = new Client(proxy)) {
        client.send(commands.toString());
        proxy.module.next(RequestReceived.class);
      }
      for (int i = 0; i < 32; i++) {
        proxy.module.next(RequestGone.class);
      }
      assertEquals(32, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
      assertEquals(32, proxy.proxy.counters().get(Counter.REQUESTS_GONE));
    }
  }

  /** Guards against attempts for a client that has left after sending more requests than may be queued. */
  @Test
  void aCloseBehindMoreRequestsThanMayBeQueuedIsSeen() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      try (Client client = new Client(proxy)) {
        client.send(reads(REQUESTS_OVER_LIMIT));
        proxy.awaitCount(Counter.ATTEMPTS_SENT, 32);
      }
      for (int i = 0; i < 32; i++) {
        proxy.module.next(RequestGone.class);
      }
      assertEquals(32, proxy.proxy.counters().get(Counter.ATTEMPTS_SENT));
      assertEquals(32, proxy.proxy.counters().get(Counter.REQUESTS_GONE));
      assertEquals(0, proxy.proxy.unreleased());
    }
  }

  /** A cache that answers each read with an empty value, once the latch is open. */
  private static Stub cacheBehind(CountDownLatch latch) throws IOException {
    return new Stub(peer -> {
      latch.await();
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.say("VA 0 " + line.split(" ")[3] + "\r\n\r\n");
      }
    });
  }

  /** Guards against an unlimited queue of a client's requests: those over the limit are refused in order. */
  @Test
  void requestsOverTheQueueLimitAreRefusedInOrder() throws Exception {
    CountDownLatch sent = new CountDownLatch(1);
    try (Stub cache = cacheBehind(sent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(reads(REQUESTS_OVER_LIMIT));
      client.send("quit\r\n");
      proxy.awaitCount(Counter.ANSWERED_REFUSED, 1);
      sent.countDown();
      int refused = 0;
      for (int i = 0; i < REQUESTS_OVER_LIMIT; i++) {
        String line = client.line();
        if (line.equals("SERVER_ERROR busy")) {
          refused++;
          assertTrue(i > 5_000, "4 MB hold some 7,500; refused: " + i);
        } else {
          assertEquals("VA 0 O" + i, line);
          assertEquals("", client.line());
        }
      }
      assertNull(client.line());
      assertEquals(refused, proxy.proxy.counters().get(Counter.ANSWERED_REFUSED));
      assertEquals(REQUESTS_OVER_LIMIT, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    }
  }

  /** Guards against queued answers that fill the memory: a client that sends without end is disconnected. */
  @Test
  void queuedAnswersAreLimitedToo() throws Exception {
    CountDownLatch sent = new CountDownLatch(1);
    try (Stub cache = cacheBehind(sent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(reads(REQUESTS_OVER_LIMIT) + "mn\r\nversion\r\n".repeat(20_000));
      proxy.awaitCount(Counter.CLIENT_CONNECTIONS_CLOSED_BACKLOG, 1);
      sent.countDown();
      String last = null;
      int answers = 0;
      for (String line = client.line(); line != null; line = client.line()) {
        answers += line.isEmpty() ? 0 : 1;
        last = line;
      }
      assertEquals("SERVER_ERROR too many commands", last);
      assertTrue(answers > REQUESTS_OVER_LIMIT && answers < REQUESTS_OVER_LIMIT + 10_000,
          "answers: " + answers);
    }
  }

  /** Guards against queued commands that are never started, or answered out of order. */
  @Test
  void manyRequestsAtOnceAreAllAnsweredInTheirOrder() throws Exception {
    try (Stub cache = cacheBehind(new CountDownLatch(0));
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < 3000; i++) {
        commands.append(i % 7 == 0 ? "mn\r\n" : READ.replace("O9b", "O" + i));
      }
      client.send(commands + "quit\r\n");
      for (int i = 0; i < 3000; i++) {
        assertEquals(i % 7 == 0 ? "MN" : "VA 0 O" + i, client.line());
        assertTrue(i % 7 == 0 || client.line().isEmpty());
      }
      assertNull(client.line());
    }
  }

  /** Guards against a partial line on an idle connection, which would precede the next answer. */
  @Test
  void aPartialLineOnAnIdleConnectionClosesItAndFailsNoRequest() throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    try (Stub cache = new Stub(peer -> {
      peer.line();
      peer.say("VA 2 O9b\r\nab\r\n");
      if (peer.stub().connections() == 1) {
        answered.await();
        peer.say("VA 2 O");
        peer.beSilent();
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("VA 2 O9b", client.request(READ));
      assertEquals("ab", client.line());
      assertEquals(Result.OK, proxy.nextAttemptEnded().result());
      answered.countDown();
      assertTrue(cache.ends.poll(5, TimeUnit.SECONDS), "the proxy has closed the connection");
      assertEquals("VA 2 O9b", client.request(READ));
      assertEquals("ab", client.line());
      assertEquals(Result.OK, proxy.nextAttemptEnded().result());
      assertEquals(2, cache.connections());
    }
  }

  /** Guards against taking a second answer of the origin, which has no id, for that to the next request. */
  @Test
  void aLateSecondAnswerIsNotTakenForThatToTheNextRequest() throws Exception {
    try (Stub origin = new Stub(peer -> {
      boolean first = peer.stub().connections() == 1;
      for (String head = peer.head(); head != null; head = peer.head()) {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        boolean next = head.contains("Req-Id: 9c");
        if (first && next) {
          peer.say(answer + "ab"); // the second answer crosses the next request
        }
        peer.say(answer + (next ? "cd" : "ab"));
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      // The second request is sent at the moment at which the first is answered.
      proxy.module.script = event -> event instanceof RequestReceived e && e.id() == 1
          ? List.of(new Send(1, "origin", 0))
          : event instanceof AttemptEnded e && e.id() == 1 ? List.of(new Send(2, "origin", 0)) : List.of();
      client.send(READ + READ.replace("O9b", "O9c"));
      assertEquals("VA 2 O9b", client.line());
      assertEquals("ab", client.line());
      assertEquals("VA 2 O9c", client.line());
      assertEquals("cd", client.line());
    }
  }

  /**
   * Guards against a request that crosses the node's own close of an idle connection, as it is sent between
   * two periodic checks of idle connections.
   */
  @Test
  void aConnectionThatWasIdleForTooLongIsNotReusedBeforeThePeriodicCheck() throws Exception {
    String settings = ProxyFixture.SETTINGS.replace("\"conn-idle-ms\":60000", "\"conn-idle-ms\":1200")
        .replace("\"connect-timeout-ms\":1000", "\"connect-timeout-ms\":100");
    try (Stub cache = new Stub(peer -> {
      while (peer.line() != null) {
        peer.say("VA 0 O9b\r\n\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody(), 1024, settings, null);
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("VA 0 O9b", client.request(READ));
      assertEquals("", client.line());
      Thread.sleep(1150); // it may be reused for 1 s; the node may close it after 1.2 s
      assertEquals("VA 0 O9b", client.request(READ));
      assertEquals(2, cache.connections());
    }
  }

  /** Guards against work for a client whose close lies unread behind its request while the thread is busy. */
  @Test
  void aClientThatSendsARequestAndLeavesWhileTheProxyIsBusyIsNotServed() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch gone = new CountDownLatch(1);
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client first = new Client(proxy); Client last = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e && e.id() == 1) {
          busy.countDown();
          await(gone);
        }
        return event instanceof RequestReceived e ? List.of(new Refuse(e.id(), 0)) : List.of();
      };
      assertEquals("MN", last.request("mn\r\n"));
      try (Client next = new Client(proxy)) {
        assertEquals("MN", next.request("mn\r\n"));
        first.send(READ);
        await(busy);
        next.send(READ.replace("O9b", "O9c"));
      }
      Thread.sleep(50); // the time for which it is busy
      gone.countDown();
      assertEquals("SERVER_ERROR busy", first.line());
      assertEquals("MN", last.request("mn\r\n"));
      assertEquals(1, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    }
  }

  /** Guards against a request that is started after the shutdown, and against clients that delay it. */
  @Test
  void anIdleClientIsClosedOnShutdownAndItsLaterRequestIsNeitherStartedNorDelaysIt() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client idle = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("MN", idle.request("mn\r\n"));
      CountDownLatch drained = new CountDownLatch(1);
      Thread end = new Thread(() -> {
        try {
          proxy.proxy.shutDownGracefully();
          drained.countDown();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      long startedAt = System.nanoTime();
      end.start();
      assertNull(idle.line(), "an orderly close, not a reset");
      idle.send(READ);
      assertNull(idle.line(), "no reset after a further request either");
      await(drained); // though this client does not close its connection
      long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
      assertTrue(took < 2000, "took " + took + " ms");
      assertEquals(0, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(5, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static AttemptEnded oneWrite(Stub origin, String expected) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      assertEquals(expected, client.request(WRITE));
      return proxy.nextAttemptEnded();
    }
  }

  /** An HTTP response may have neither a length nor chunks: it ends when the origin closes the connection. */
  @Test
  void aResponseWithoutALengthIsCompleteOnceTheOriginHasClosed() throws Exception {
    try (Stub origin = new Stub(peer -> {
      peer.head();
      peer.bytes(5);
      peer.say("HTTP/1.1 200 OK\r\n\r\nrec");
      peer.say("eipt");
    })) {
      assertEquals(Result.OK, oneWrite(origin, "HD O9b creceipt").result());
    }
  }

  /** Guards against a truncated response that passes for a complete one: a reset does not end a response. */
  @Test
  void aResponseWithoutALengthIsIncompleteIfTheOriginResets() throws Exception {
    try (Stub origin = new Stub(peer -> {
      peer.head();
      peer.bytes(5);
      peer.say("HTTP/1.1 200 OK\r\n\r\nrec");
      Thread.sleep(50); // a reset discards what was not read
      peer.reset();
    })) {
      AttemptEnded ended = oneWrite(origin, "SERVER_ERROR busy");
      assertEquals(Result.RESET, ended.result());
      assertEquals(false, ended.done());
    }
  }

  /** Guards against a value that is cut off half a second after its last write, as its client has quit. */
  @Test
  void aValueThatItsClientReadsSlowlyIsSentWholeBeforeAClose() throws Exception {
    try (Stub cache = ScriptedCache.valueOf(1 << 20);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        SlowClient client = new SlowClient(proxy.port)) {
      proxy.sendTo("cache");
      client.send(READ + "quit\r\n");
      assertEquals("VA " + (1 << 20) + " O9b", client.line());
      client.readWhileSending(1 << 20, 2000).get();
      assertEquals("", client.line());
      assertNull(client.line());
    }
  }
}

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

/** Bytes cross the close of a connection, on either side of the proxy. */
@Timeout(30)
class ConnectionCloseTest {

  private static final int LONG = 60_000;
  private static final int MORE_THAN_MAY_WAIT = 20_000; // requests

  /** Guards against a close over bytes that nobody read: the system resets, and answers go with it. */
  @Test
  void anAnswerOnItsWayOutlivesACloseOverBytesThatNobodyRead() throws Exception {
    String value = "x".repeat(LONG);
    try (Stub cache = new Stub(peer -> {
      while (peer.line() != null) {
        peer.say("VA " + LONG + " O9b\r\n" + value + "\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy.port, 4096)) {
      proxy.sendTo("cache");
      client.send(READ + "ms 7f3a x O9c Pc=put,t=acme,d=4000,k=5c\r\n" + "y".repeat(200_000));
      assertTrue(proxy.nextAttemptEnded().done());
      // The client has read nothing so far: the answer lies in the system's buffers, behind the close.
      proxy.awaitCount(Counter.BAD_COMMANDS, 1);
      Thread.sleep(200); // reads are held back until the close is past, and the lingering is not
      assertEquals("VA " + LONG + " O9b", client.line());
      assertEquals(value + "\r\n", client.bytes(LONG + 2));
      assertEquals("CLIENT_ERROR bad data chunk", client.line());
      assertNull(client.line());
    }
  }

  /** Guards against a flood that is served on though its client has gone, as its end is not read. */
  @Test
  void theEndOfAClientThatSentManyRequestsAtOnceIsSeenWhileTheFirstAreOpen() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      StringBuilder flood = new StringBuilder();
      for (int i = 0; i < 500; i++) {
        flood.append(READ.replace("O9b", "O" + i));
      }
      try (Client client = new Client(proxy)) {
        client.send(flood.toString());
        proxy.module.next(RequestReceived.class);
      }
      for (int i = 0; i < 32; i++) {
        proxy.module.next(RequestGone.class);
      }
      assertEquals(32, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
      assertEquals(32, proxy.proxy.counters().get(Counter.REQUESTS_GONE));
    }
  }

  /** Guards against attempts for a client that sent more than may wait, and has left. */
  @Test
  void theEndOfAClientThatSentMoreThanMayWaitIsSeen() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      try (Client client = new Client(proxy)) {
        client.send(reads(MORE_THAN_MAY_WAIT));
        proxy.awaitCount(Counter.ATTEMPTS_SENT, 32);
      }
      for (int i = 0; i < 32; i++) {
        proxy.module.next(RequestGone.class);
      }
      assertEquals(32, proxy.proxy.counters().get(Counter.ATTEMPTS_SENT));
      assertEquals(32, proxy.proxy.counters().get(Counter.REQUESTS_GONE));
      assertEquals(0, proxy.proxy.held());
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

  /** Guards against a proxy that holds all that a client sends: what may not wait is refused in its place. */
  @Test
  void whatMayNotWaitIsRefusedInItsOrder() throws Exception {
    CountDownLatch sent = new CountDownLatch(1);
    try (Stub cache = cacheBehind(sent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(reads(MORE_THAN_MAY_WAIT));
      client.send("quit\r\n");
      proxy.awaitCount(Counter.ANSWERED_REFUSED, 1);
      sent.countDown();
      int refused = 0;
      for (int i = 0; i < MORE_THAN_MAY_WAIT; i++) {
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
      assertEquals(MORE_THAN_MAY_WAIT, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    }
  }

  /** Guards against answers that take up the memory while they wait: who asks on without end is ended. */
  @Test
  void answersThatWaitAreBoundedToo() throws Exception {
    CountDownLatch sent = new CountDownLatch(1);
    try (Stub cache = cacheBehind(sent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(reads(MORE_THAN_MAY_WAIT) + "mn\r\nversion\r\n".repeat(20_000));
      proxy.awaitCount(Counter.ANSWERED_REFUSED, 1);
      sent.countDown();
      String last = null;
      int answers = 0;
      for (String line = client.line(); line != null; line = client.line()) {
        answers += line.isEmpty() ? 0 : 1;
        last = line;
      }
      assertEquals("SERVER_ERROR too many commands", last);
      assertTrue(answers > MORE_THAN_MAY_WAIT && answers < MORE_THAN_MAY_WAIT + 10_000,
          "answers: " + answers);
    }
  }

  /** Guards against commands that wait behind others and are never begun, or come out of order. */
  @Test
  void manyRequestsAtOnceAreAllAnsweredInTheirOrder() throws Exception {
    try (Stub cache = cacheBehind(new CountDownLatch(0));
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      StringBuilder flood = new StringBuilder();
      for (int i = 0; i < 3000; i++) {
        flood.append(i % 7 == 0 ? "mn\r\n" : READ.replace("O9b", "O" + i));
      }
      client.send(flood + "quit\r\n");
      for (int i = 0; i < 3000; i++) {
        assertEquals(i % 7 == 0 ? "MN" : "VA 0 O" + i, client.line());
        assertTrue(i % 7 == 0 || client.line().isEmpty());
      }
      assertNull(client.line());
    }
  }

  /** Guards against half a line on a resting connection, which would stand before the next answer. */
  @Test
  void halfALineOnARestingConnectionCostsThatConnectionAndNoRequest() throws Exception {
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
      assertTrue(cache.ends.poll(5, TimeUnit.SECONDS), "the proxy has ended the connection");
      assertEquals("VA 2 O9b", client.request(READ));
      assertEquals("ab", client.line());
      assertEquals(Result.OK, proxy.nextAttemptEnded().result());
      assertEquals(2, cache.connections());
    }
  }

  /** Guards against a second answer of the origin, which names no id, as the answer to the next request. */
  @Test
  void aSecondAnswerThatComesLateIsNotTheNextOnes() throws Exception {
    try (Stub origin = new Stub(peer -> {
      boolean first = peer.stub().connections() == 1;
      for (String head = peer.head(); head != null; head = peer.head()) {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        boolean next = head.contains("Req-Id: 9c");
        if (first && next) {
          peer.say(answer + "ab"); // the second answer crosses it
        }
        peer.say(answer + (next ? "cd" : "ab"));
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      // The second is sent in the moment in which the first has its answer.
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

  /** Guards against a request that crosses the node's own close of an idle connection, between two sweeps. */
  @Test
  void aConnectionThatHasStoodIdleForTooLongIsNotUsedThoughNoSweepHasMetIt() throws Exception {
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
      Thread.sleep(1150); // it may be used for 1 s; the node may close it after 1.2 s
      assertEquals("VA 0 O9b", client.request(READ));
      assertEquals(2, cache.connections());
    }
  }

  /** Guards against work for a client whose end lies unread behind its request, while this thread is busy. */
  @Test
  void aClientThatAsksAndGoesWhileTheProxyIsBusyIsNotServed() throws Exception {
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
      Thread.sleep(50); // so long it is busy
      gone.countDown();
      assertEquals("SERVER_ERROR busy", first.line());
      assertEquals("MN", last.request("mn\r\n"));
      assertEquals(1, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    }
  }

  /** Guards against a request that is begun after the shutdown, and against clients that hold that up. */
  @Test
  void aRestingClientSeesTheEndAndWhatItSaysThenIsNotBegunNorHoldsUpTheShutdown() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client resting = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("MN", resting.request("mn\r\n"));
      CountDownLatch drained = new CountDownLatch(1);
      Thread end = new Thread(() -> {
        try {
          proxy.proxy.drain();
          drained.countDown();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      long begun = System.nanoTime();
      end.start();
      assertNull(resting.line(), "an orderly end, and no reset");
      resting.send(READ);
      assertNull(resting.line(), "nor then");
      await(drained); // though this client closes nothing
      long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
      assertTrue(took < 2000, "ended after " + took + " ms");
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

  /** An answer over HTTP may have neither a length nor chunks: it ends where the origin closes. */
  @Test
  void anAnswerWithoutALengthIsWholeOnceTheOriginHasClosed() throws Exception {
    try (Stub origin = new Stub(peer -> {
      peer.head();
      peer.bytes(5);
      peer.say("HTTP/1.1 200 OK\r\n\r\nrec");
      peer.say("eipt");
    })) {
      assertEquals(Result.OK, oneWrite(origin, "HD O9b creceipt").result());
    }
  }

  /** Guards against an answer that was cut off and passes for a whole one: a reset is no end. */
  @Test
  void anAnswerWithoutALengthIsNoneWhereTheOriginHasReset() throws Exception {
    try (Stub origin = new Stub(peer -> {
      peer.head();
      peer.bytes(5);
      peer.say("HTTP/1.1 200 OK\r\n\r\nrec");
      Thread.sleep(50); // a reset takes with it what was not read
      peer.reset();
    })) {
      AttemptEnded ended = oneWrite(origin, "SERVER_ERROR busy");
      assertEquals(Result.RESET, ended.result());
      assertEquals(false, ended.done());
    }
  }
}

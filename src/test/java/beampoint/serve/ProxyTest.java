package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Cancel;
import beampoint.Balancer.Fail;
import beampoint.Balancer.FollowList;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Probe;
import beampoint.Balancer.ProbeEnded;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.TimerFired;
import beampoint.Balancer;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy on sockets, with a scripted module: what peers do becomes the right event, and once. */
@Timeout(30)
class ProxyTest {

  private static final String READ = "mg 7f3a v O9b Pc=read,t=acme,d=4000\r\n";
  private static final String WRITE = "ms 7f3a 5 O9b Pc=put,t=acme,d=4000,k=5c\r\nhello\r\n";

  /** A cache node that answers every command so. */
  private static Stub cache(String answer) throws Exception {
    return new Stub(peer -> {
      while (peer.line() != null) {
        peer.say(answer);
      }
    });
  }

  /** A cache node that takes a command and never answers. */
  private static Stub silentCache() throws Exception {
    return new Stub(peer -> {
      peer.line();
      peer.beSilent();
    });
  }

  /** A cache node that answers a read once the test adds to the stub's ends. */
  private static Stub heldCache() throws Exception {
    return new Stub(peer -> {
      peer.line();
      peer.stub().ends.take();
      peer.say("VA 0 O9b\r\n\r\n");
      peer.beSilent();
    });
  }

  private static AttemptEnded oneRead(String cache) throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(cache, Stub.nobody()); Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("SERVER_ERROR busy", client.ask(READ));
      return proxy.ended();
    }
  }

  @Test
  void aValueGoesFromTheCacheNodeToTheClient() throws Exception {
    try (Stub cache = cache("VA 5 O9b h1 Linflight=1\r\nab\r\nc\r\n");
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("VA 5 O9b", client.ask(READ));
      assertEquals("ab\r\nc\r\n", client.bytes(7));
      String sent = cache.nextLine();
      assertTrue(sent.matches("mg 7f3a v O9b Pc=read,t=acme,d=[1-3]\\d{3}"), sent);
      RequestReceived request = proxy.module.next(RequestReceived.class);
      assertEquals(0x7f3a, request.key());
      assertEquals(0, request.requestClass());
      assertEquals(0, request.tenant());
      AttemptEnded ended = proxy.ended();
      assertEquals(Result.OK, ended.result());
      assertTrue(ended.done());
    }
  }

  @Test
  void theModuleIsToldWhatAClientMarksAsAskedAgain() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Refuse(e.id(), 0)) : List.of();
      client.ask(READ);
      assertFalse(proxy.module.next(RequestReceived.class).again());
      client.ask(READ.replace("O9b", "O9c").replace("d=4000", "d=4000,r=1"));
      assertTrue(proxy.module.next(RequestReceived.class).again());
    }
  }

  @Test
  void aSecondRequestUsesTheSameConnection() throws Exception {
    try (Stub cache = cache("VA 0 O9b\r\n\r\n");
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 3; i++) {
        assertEquals("VA 0 O9b", client.ask(READ));
        assertEquals("", client.line());
        proxy.ended();
      }
      assertEquals(1, cache.connections());
    }
  }

  @Test
  void theOriginIsAskedByHttpForReadsAndWrites() throws Exception {
    try (Stub origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        boolean write = head.startsWith("PUT");
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"
            + (write && !peer.bytes(5).equals("hello") ? "garbled" : write ? "receipt" : "a value"));
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      long startedAt = System.nanoTime();
      assertEquals("VA 7 O9b", client.ask(READ));
      assertEquals("a value", client.line());
      assertEquals("HD O9b creceipt", client.ask(WRITE));
      assertEquals("GET /7f3a HTTP/1.1", origin.nextLine());
      assertEquals("Host: " + origin.address(), origin.nextLine());
      assertEquals("Req-Id: 9b", origin.nextLine());
      String parameters = origin.nextLine();
      long passed = (System.nanoTime() - startedAt) / 1_000_000 + 1;
      int timeLeft = Integer.parseInt(parameters.replace("Req-Extra: c=read,t=acme,d=", ""));
      assertTrue(timeLeft <= 4000 && timeLeft >= 4000 - passed, timeLeft + " within " + passed + " ms");
      assertTrue(proxy.module.next(RequestReceived.class).id() > 0);
      assertTrue(proxy.module.next(RequestReceived.class).write());
    }
  }

  @Test
  void whatTheOriginSaysNeverRanIsToldSo() throws Exception {
    for (String[] answer : new String[][] {{"503 Busy\r\nSrv-Declined: 1", "FULL"}, {"503 Busy", "ERROR"},
        {"504 Late\r\nSrv-Declined: 1", "FULL"}, {"500 Failed\r\nSrv-Declined: 1", "ERROR"}}) {
      try (Stub origin = new Stub(peer -> {
        peer.head();
        peer.say("HTTP/1.1 " + answer[0] + "\r\nContent-Length: 0\r\n\r\n");
        peer.beSilent();
      }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
          Client client = new Client(proxy)) {
        proxy.sendTo("origin");
        assertEquals("SERVER_ERROR busy", client.ask(READ));
        assertEquals(Result.valueOf(answer[1]), proxy.ended().result(), answer[0]);
      }
    }
  }

  @Test
  void everyAnswerOfACacheNodeHasItsOutcome() throws Exception {
    for (String[] answer : new String[][] {{"EN O9b h0\r\n", "MISS"}, {"SERVER_ERROR busy\r\n", "FULL"},
        {"SERVER_ERROR failed\r\n", "ERROR"}, {"VA 0 Oother\r\n\r\n", "ERROR"}, {"nonsense\r\n", "ERROR"},
        {"EN Oother\r\n", "ERROR"}, {"VA 3000000000\r\nabc", "ERROR"}}) {
      try (Stub cache = cache(answer[0])) {
        assertEquals(Result.valueOf(answer[1]), oneRead(cache.address()).result(), answer[0]);
      }
    }
  }

  /** Guards against a value that nobody made, and against a peer taken for broken that spoils an answer. */
  @Test
  void aSpoiltAnswerOfTheOriginIsAnErrorAndInterimOnesAreReadPast() throws Exception {
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
        assertEquals(answer[1].equals("OK") ? "VA 1 O9b" : "SERVER_ERROR busy", client.ask(READ));
        assertEquals(Result.valueOf(answer[1]), proxy.ended().result());
      }
    }
  }

  /** Guards against a good answer with noise behind it that spoils the next one on its connection. */
  @Test
  void aConnectionWithMoreOnItThanTheAnswerIsNotUsedAgain() throws Exception {
    String value = "VA 0 O9b\r\n\r\n";
    try (Stub cache = cache(value + value); ProxyFixture proxy =
        new ProxyFixture(cache.address(), Stub.nobody()); Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 3; i++) {
        assertEquals("VA 0 O9b", client.ask(READ));
        assertEquals("", client.line());
        assertEquals(Result.OK, proxy.ended().result());
      }
      assertEquals(3, cache.connections());
    }
  }

  /** Guards against a request told as perhaps run, and so failed, that never reached anybody. */
  @Test
  void aRefusedConnectionMeansThatItNeverRan() throws Exception {
    assertEquals(Result.CONNECT_FAILED, oneRead(Stub.nobody()).result());
  }

  /** Guards against a repeat of what may have run: after the last byte a break proves nothing. */
  @Test
  void aBreakAfterTheLastByteIsAReset() throws Exception {
    try (Stub cache = new Stub(peer -> {
      peer.line();
      peer.reset();
    })) {
      assertEquals(Result.RESET, oneRead(cache.address()).result());
      assertEquals(1, cache.connections(), "nothing is sent again but by the module");
    }
  }

  @Test
  void aValueCutOffIsNoAnswer() throws Exception {
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
      assertEquals("SERVER_ERROR busy", client.ask(READ));
      assertEquals(Result.RESET, proxy.ended().result());
    }
  }

  @Test
  void aSilentPeerIsGivenUpWhenTheClientStopsWaiting() throws Exception {
    try (Stub cache = silentCache(); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e ? List.of(new Fail(e.id())) : List.of();
      assertEquals("SERVER_ERROR failed", client.ask(READ.replace("4000", "100")));
      AttemptEnded ended = proxy.ended();
      assertEquals(Result.TIMEOUT, ended.result());
      assertFalse(ended.done());
      assertTrue(ended.elapsed() >= 90 && ended.elapsed() < 1000, "after " + ended.elapsed());
      assertTrue(cache.ends.take(), "the connection is ended, which gives the attempt up");
    }
  }

  @Test
  void anAttemptHasItsOwnLimitAndMayBeCancelled() throws Exception {
    try (Stub cache = silentCache(); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 300)) : event instanceof AttemptEnded e && e.attempt() == 0
          ? List.of(new Send(e.id(), "cache", 0), new Cancel(e.id(), 1))
          : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 40)) : List.of();
      assertEquals("SERVER_ERROR busy 40", client.ask(READ));
      assertEquals(Result.TIMEOUT, proxy.ended().result());
      AttemptEnded second = proxy.ended();
      assertEquals(1, second.attempt());
    }
  }

  @Test
  void answersComeInTheOrderOfTheCommands() throws Exception {
    try (Stub cache = new Stub(peer -> {
      String line = peer.line();
      if (line.contains("Oslow")) {
        peer.stub().ends.take(); // until the quick one has been answered
      }
      peer.say("VA 0 O" + (line.contains("Oslow") ? "slow" : "quick") + "\r\n\r\n");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      client.say("mg 1 v Oslow Pc=read,d=4000\r\nmg 2 v Oquick Pc=read,d=4000\r\nmn\r\n");
      assertEquals(2, proxy.ended().id(), "the quick one ends first");
      cache.ends.add(true);
      assertEquals("VA 0 Oslow", client.line());
      client.line();
      assertEquals("VA 0 Oquick", client.line());
      client.line();
      assertEquals("MN", client.line());
    }
  }

  @Test
  void theLargestValueGoesThroughWholeInBothDirections() throws Exception {
    String value = "0123456789abcdef".repeat(4096);
    try (Stub origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        boolean write = head.startsWith("PUT ");
        String answer = !write ? value : peer.bytes(value.length()).equals(value) ? "done" : "torn";
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
      }
    }); ProxyFixture proxy = new ProxyFixture(Stub.nobody(), origin.address());
        Client client = new Client(proxy)) {
      proxy.sendTo("origin");
      client.say("ms 1 65536 Oa Pc=put,d=4000\r\n" + value + "\r\n");
      assertEquals("HD Oa cdone", client.line());
      assertEquals("VA 65536 Ob", client.ask("mg 1 v Ob Pc=read,d=4000\r\n"));
      assertEquals(value, client.bytes(65536));
    }
  }

  /** Guards against answers that are torn or mixed where a client reads slowly and a socket is full. */
  @Test
  void aSlowReaderGetsAllItsAnswersWholeAndInOrder() throws Exception {
    String value = "0123456789abcdef".repeat(4096);
    int count = 80;
    try (Stub cache = new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.say("VA 65536 " + line.split(" ")[3] + "\r\n" + value + "\r\n");
      }
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy.port, 4096)) {
      proxy.sendTo("cache");
      for (int i = 0; i < count; i++) {
        client.say("mg " + i + " v O" + i + " Pc=read,d=9000\r\n");
      }
      for (int i = 0; i < 20; i++) {
        proxy.ended(); // these answers are on their way while nobody reads
      }
      for (int i = 0; i < count; i++) {
        assertEquals("VA 65536 O" + i, client.line());
        assertEquals(value, client.bytes(65536));
        client.line();
      }
    }
  }

  /** Guards against caches that are silent and hold every connection, so that nothing reaches the origin. */
  @Test
  void cachesLeaveConnectionsForTheOrigin() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent); Stub origin = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), origin.address(), 32 + 8);
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 4; i++) {
        client.say("mg " + i + " v O" + i + " Pc=read,d=4000\r\n");
      }
      assertEquals(Result.NOT_SENT, proxy.ended().result(), "of four one is the origin's");
      proxy.sendTo("origin");
      client.say("mg 5 v O5 Pc=read,d=4000\r\n");
      assertEquals(Result.OK, proxy.ended().result());
    }
  }

  @Test
  void aClientThatLeavesIsToldToTheModuleAndTheAttemptEndsAfterIt() throws Exception {
    try (Stub cache = heldCache(); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      Client client = new Client(proxy);
      client.say(READ);
      cache.nextLine();
      client.close();
      assertEquals(1, proxy.module.next(RequestGone.class).id());
      cache.ends.add(true);
      AttemptEnded ended = proxy.ended();
      assertEquals(Result.OK, ended.result());
      assertTrue(ended.done());
    }
  }

  @Test
  void badInputCostsAnAnswerAndOverlongInputItsConnectionOnly() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy); Client other = new Client(proxy)) {
      assertEquals("ERROR", client.ask("hello\r\n"));
      assertEquals("CLIENT_ERROR unknown class", client.ask("mg 1 v O1 Pc=none,d=100\r\n"));
      assertEquals("MN", other.ask("mn\r\n"));
      assertTrue(client.ask("x".repeat(6000)).startsWith("CLIENT_ERROR"));
      assertNull(client.line());
      assertEquals("MN", other.ask("mn\r\n"));
      assertNull(other.ask("quit\r\n"));
    }
  }

  /** Guards against a request that the module decides on, and never hears the end of, as its client left. */
  @Test
  void aRequestWhoseClientLeavesAtOnceIsNotToldAfterItsLeaving() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client last = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 50; i++) {
        try (Client leaving = new Client(proxy)) {
          leaving.say("mg 1 v O" + i + " Pc=read,t=acme,d=100\r\n");
        }
      }
      Set<Long> open = new HashSet<>();
      Set<Long> gone = new HashSet<>();
      last.say(READ.replace("4000", "200"));
      int taken = 0;
      while (taken < 51 || !open.isEmpty()) { // fails where an attempt never ends, as no event comes then
        Balancer.Event event = proxy.module.next(Balancer.Event.class);
        if (event instanceof RequestReceived e) {
          assertFalse(gone.contains(e.id()), "request " + e.id() + " was told after its leaving");
          open.add(e.id());
          taken++;
        } else if (event instanceof RequestGone e) {
          gone.add(e.id());
        } else if (event instanceof AttemptEnded e) {
          open.remove(e.id());
        }
      }
    }
  }

  /** Guards against use by the front while code is still being compiled, and answers are late. */
  @Test
  void aProxyIsReadyOnceItIsWarm() throws Exception {
    ProxyFixture.Module module = new ProxyFixture.Module();
    ProxyFixture.Module rehearsed = new ProxyFixture.Module();
    CountDownLatch held = new CountDownLatch(1); // the rehearsal, until a client has asked
    rehearsed.script = event -> {
      await(held);
      return List.of();
    };
    AtomicInteger made = new AtomicInteger();
    List<String> hosts = List.of(ProxyFixture.host("cache", Stub.nobody(), "m2"));
    Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, Stub.nobody()),
        settings -> made.getAndIncrement() == 0 ? module : rehearsed);
    try {
      proxy.startWarm();
      try (Client client = new Client(proxy.port())) {
        module.next(ListReceived.class);
        client.say("mn\r\n");
        held.countDown();
        String answer = client.line();
        assertEquals("SERVER_ERROR not ready", answer);
        while (!answer.equals("MN")) {
          answer = client.ask("mn\r\n");
        }
        assertEquals(0, proxy.counters().get(Counter.PROBES_SENT), "its questions to itself don't count");
        // Its time is time without a proxy: where most proxies restart at once nobody else serves meanwhile.
        int events = rehearsed.events.size();
        assertTrue(events > 10 && events <= 100, "made-up events: " + events);
      }
    } finally {
      proxy.stop();
    }
  }

  /** Guards against a client that sends nonsense at full speed: each line of it costs an answer. */
  @Test
  void aClientThatGoesOnSendingWhatCanNotBeReadIsTurnedAway() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      client.say("nonsense\r\n".repeat(1000));
      int answers = 0;
      try {
        while ("ERROR".equals(client.line())) {
          answers++;
        }
      } catch (SocketException e) {
        // reset, as not all that was sent has been read
      }
      assertTrue(answers <= 8, answers + " answers");
      assertEquals(8, proxy.proxy.counters().get(Counter.BAD_COMMANDS));
    }
  }

  /** Guards against one id that stands for two requests: an answer names its request by it. */
  @Test
  void anIdThatIsInUseIsNotTakenAgain() throws Exception {
    try (Stub cache = heldCache(); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy); Client other = new Client(proxy)) {
      proxy.sendTo("cache");
      client.say(READ);
      cache.nextLine();
      assertEquals("CLIENT_ERROR id in use", other.ask(READ));
      cache.ends.add(true);
      assertEquals("VA 0 O9b", client.line());
      proxy.ended();
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Refuse(e.id(), 0)) : List.of();
      assertEquals("SERVER_ERROR busy", other.ask(READ));
      assertEquals("CLIENT_ERROR unknown tenant", other.ask(READ.replace("acme", "nobody")));
    }
  }

  /** Guards against connections that are held and not used, or for half a command. */
  @Test
  void aClientThatSaysNothingOrHalfACommandIsClosed() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client idle = new Client(proxy); Client silent = new Client(proxy); Client half = new Client(proxy);
        Client later = new Client(proxy)) {
      assertEquals("MN", idle.ask("mn\r\n"));
      assertEquals("MN", later.ask("mn\r\nms 1 5 O1"));
      half.say("mg 7f3a v O9b Pc=re");
      assertNull(silent.line());
      assertNull(half.line());
      assertNull(later.line());
      assertEquals("MN", idle.ask("mn\r\n"));
      assertEquals(3, proxy.proxy.counters().get(Counter.CLIENT_CONNECTIONS_CLOSED_STALE));
    }
  }

  /** Guards against slow writers that go before a crowd that has stopped, as the crowd is younger. */
  @Test
  void whoWritesSlowlyStaysWhileACrowdThatHasStoppedMakesRoom() throws Exception {
    List<Client> crowd = new ArrayList<>();
    // Of 140 descriptors clients may have 35 before they make room, a third of those amid a command.
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 140);
        Client slow = new Client(proxy); Client other = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Refuse(e.id(), 0)) : List.of();
      slow.say(READ.substring(0, 10));
      for (int i = 0; i < 11; i++) {
        crowd.add(new Client(proxy));
      }
      proxy.awaitClients(13); // who is accepted later would have moved later than the slow one
      assertEquals("MN", other.ask("mn\r\n"), "by now all that were accepted are known");
      slow.say(READ.substring(10, 20));
      assertEquals("MN", other.ask("mn\r\n"));
      assertEquals("MN", other.ask("mn\r\n"), "by now what the slow one wrote is read");
      for (int i = 11; i < 41; i++) {
        crowd.add(new Client(proxy));
      }
      proxy.awaitClients(43);
      assertEquals("MN", other.ask("mn\r\n"), "by now all that were accepted are known");
      assertNull(crowd.get(0).line(), "who has moved nothing for longest made room");
      assertEquals("SERVER_ERROR busy", slow.ask(READ.substring(20)));
      assertEquals(8, proxy.proxy.counters().get(Counter.CLIENT_CONNECTIONS_CLOSED_FULL));
    } finally {
      for (Client client : crowd) {
        client.close();
      }
    }
  }

  /** Guards against crowds that connect and say nothing, and take the place of the usual clients. */
  @Test
  void crowdsThatSayNothingMakeRoomForThoseThatSpeak() throws Exception {
    List<Client> crowd = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 32 + 40)) {
      List<Client> usual = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        usual.add(new Client(proxy));
        assertEquals("MN", usual.get(i).ask("mn\r\n"));
      }
      for (int i = 0; i < 100; i++) {
        crowd.add(new Client(proxy));
      }
      try (Client next = new Client(proxy)) {
        assertEquals("MN", next.ask("mn\r\n"));
      }
      for (Client client : usual) {
        assertEquals("MN", client.ask("mn\r\n"));
        client.close();
      }
    } finally {
      for (Client client : crowd) {
        client.close();
      }
    }
  }

  /** Guards against clients that ask once and stay, until all that the clients' side may hold is taken. */
  @Test
  void clientsThatAskOnceAndStayMakeRoomBeforeAThirdOfTheDescriptorsIsTaken() throws Exception {
    List<Client> crowd = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 300)) {
      for (int i = 0; i < 300 / 3; i++) {
        crowd.add(new Client(proxy));
        assertEquals("MN", crowd.get(i).ask("mn\r\n"));
      }
      assertNull(crowd.get(0).line(), "who was idle for longest made room");
      assertEquals("MN", crowd.get(300 / 3 - 1).ask("mn\r\n"));
    } finally {
      for (Client client : crowd) {
        client.close();
      }
    }
  }

  /** Guards against connections, or a place in memory, kept for a host that is gone or has been replaced. */
  @Test
  void aNewHostAtAnOldAddressInheritsNoConnection() throws Exception {
    try (Stub cache = heldCache(); Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      peer.stub().ends.take(); // the first request is out
      String list = "{\"seq\":2,\"whole\":true,\"hosts\":["
          + ProxyFixture.host("next", cache.address(), "m2") + "]}\n";
      peer.say(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
      peer.beSilent();
    })) {
      ProxyFixture.Module module = new ProxyFixture.Module();
      module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), e.id() == 1 ? "cache" : "next", 0)) : List.of();
      Proxy proxy = new Proxy(ProxyFixture.config(List.of(ProxyFixture.host("cache", cache.address(), "m2")),
          1024, discovery.address()), settings -> module);
      try {
        proxy.start();
        try (Client client = new Client(proxy.port())) {
          module.next(ListReceived.class);
          client.say(READ);
          cache.nextLine();
          discovery.ends.add(true);
          assertEquals("next", module.next(ListReceived.class).endpoints().get(0).id());
          cache.ends.add(true);
          assertEquals("VA 0 O9b", client.line());
          assertEquals("", client.line());
          assertTrue(cache.ends.take(), "the connection to the host that is gone is closed");
          cache.ends.add(true);
          assertEquals("VA 0 O9b", client.ask(READ));
          assertEquals(2, cache.connections());
        }
      } finally {
        proxy.stop();
      }
    }
  }

  /** Guards against ends of connections that cost as much as faults: the library words a line for each. */
  @Test
  void aClientThatLeavesIsNoFaultOfTheFilters() throws Exception {
    Logger library = Logger.getLogger("org.glassfish.grizzly");
    List<String> worded = new CopyOnWriteArrayList<>();
    Handler handler = new Handler() {
      @Override
      public void publish(LogRecord line) {
        worded.add(line.getMessage());
      }

      @Override
      public void flush() {
        // nothing is held back
      }

      @Override
      public void close() {
        // nothing is open
      }
    };
    handler.setLevel(Level.ALL);
    library.setLevel(Level.ALL);
    library.addHandler(handler);
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      proxy.module.script = event -> List.of();
      try (Client resets = new Client(proxy)) {
        resets.say(READ);
        proxy.module.next(RequestReceived.class);
        resets.socket.setSoLinger(true, 0);
      }
      proxy.module.next(RequestGone.class);
      try (Client client = new Client(proxy)) {
        client.say(READ);
        proxy.module.next(RequestReceived.class);
      }
      proxy.module.next(RequestGone.class);
      assertEquals(List.of(), worded.stream().filter(line -> line.contains("GRIZZLY0013")).toList());
    } finally {
      library.removeHandler(handler);
      library.setLevel(null);
    }
  }

  /** Guards against a fault in the module that ends the proxy, or leaves its request without an answer. */
  @Test
  void anExceptionOfTheModuleFailsItsRequestAndTheProxyLives() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> {
        throw new IllegalStateException("a fault, as the test has it");
      };
      assertEquals("SERVER_ERROR failed", client.ask(READ));
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Refuse(e.id(), 0)) : List.of();
      assertEquals("SERVER_ERROR busy", client.ask(READ));
      assertEquals(1, proxy.proxy.counters().get(Counter.LOGIC_EXCEPTIONS));
    }
  }

  @Test
  void timersAndProbesComeBack() throws Exception {
    try (Stub cache = cache("MN\r\n"); Stub origin = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      peer.beSilent();
    }); ProxyFixture proxy = new ProxyFixture(cache.address(), origin.address());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new SetTimer(5, e.id())) : event instanceof TimerFired e
          ? List.of(new Probe("cache"), new Probe("origin"), new Refuse(e.token(), 700)) : List.of();
      assertEquals("SERVER_ERROR busy 700", client.ask(READ));
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
      assertEquals("SERVER_ERROR failed", client.ask(READ));
      assertEquals(Result.CONNECT_FAILED, proxy.module.next(ProbeEnded.class).result());
      assertEquals(Result.TIMEOUT, proxy.module.next(ProbeEnded.class).result());
    }
  }

  /** Guards against accepting without end, or not at all, once all descriptors for clients are taken. */
  @Test
  void clientsBeyondTheDescriptorsWaitOrTakeThePlaceOfIdleOnes() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 32 + 8)) {
      proxy.module.script = event -> List.of(); // requests stay open, so no connection is idle
      Client[] busy = new Client[4];
      for (int i = 0; i < busy.length; i++) {
        busy[i] = new Client(proxy);
        busy[i].say("mg 1 v O" + i + " Pc=read,d=4000\r\n");
        proxy.module.next(RequestReceived.class);
      }
      try (Client waiting = new Client(proxy)) {
        waiting.say("mn\r\n");
        assertEquals(4, proxy.proxy.counters().get(Counter.CLIENT_CONNECTIONS));
        busy[0].close();
        assertEquals("MN", waiting.line());
        busy[1].close();
        proxy.module.next(RequestGone.class);
        proxy.module.next(RequestGone.class);
        try (Client next = new Client(proxy)) {
          assertEquals("MN", next.ask("mn\r\n"));
          assertNull(waiting.line(), "the idle one made room");
        }
      }
      busy[2].close();
      busy[3].close();
    }
  }

  /** Guards against a request that is lost, or sent on twice, as its idle connection is just being closed. */
  @Test
  void aCommandThatWasReadIsAnsweredThoughItsConnectionWasIdleWhenRoomWasNeeded() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    List<Client> all = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody(), 32 + 2 * 40)) {
      for (int i = 0; i < 28; i++) {
        all.add(new Client(proxy));
        assertEquals("MN", all.get(i).ask("mn\r\n"));
      }
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          await(held);
          return List.of(new Refuse(e.id(), 0));
        }
        return List.of();
      };
      all.get(27).say(READ); // holds the decision thread
      proxy.module.next(RequestReceived.class);
      all.add(new Client(proxy)); // one too many: the first is to make room
      all.get(0).say(READ.replace("O9b", "Oidle"));
      held.countDown();
      assertEquals("SERVER_ERROR busy", all.get(0).line());
      assertNull(all.get(1).line(), "the next that was idle made room");
    } finally {
      for (Client client : all) {
        client.close();
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void anOpenRequestIsAnsweredBeforeTheEndAndIdleClientsAreClosed() throws Exception {
    try (Stub cache = heldCache(); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client busy = new Client(proxy); Client idle = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("MN", idle.ask("mn\r\n"));
      busy.say(READ);
      cache.nextLine();
      Thread end = new Thread(() -> {
        try {
          proxy.proxy.drain();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      end.start();
      try (Client late = new Client(proxy)) {
        String ready = late.ask("mn\r\n");
        while (ready.equals("MN")) {
          ready = late.ask("mn\r\n"); // until the end has begun
        }
        assertEquals("SERVER_ERROR not ready", ready, "clients still come for a while");
      }
      assertNull(idle.line());
      cache.ends.add(true);
      assertEquals("VA 0 O9b", busy.line());
      busy.line();
      assertNull(busy.line());
      end.join(5000);
      assertFalse(end.isAlive());
    }
  }

  /**
   * After SIGTERM clients send on every connection that stays open: what is taken then is answered, and a
   * connection that ends has brought whole answers only.
   */
  @Test
  void clientsThatGoOnSendingAfterASigtermGetAnAnswerOrAnEndWithNothingTaken() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      proxy.module.script = event -> event instanceof RequestReceived e ? List.of(new Refuse(e.id(), 0))
          : List.of();
      AtomicInteger answers = new AtomicInteger();
      ExecutorService clients = Executors.newFixedThreadPool(6);
      List<Future<String>> ends = new ArrayList<>();
      CountDownLatch sending = new CountDownLatch(6);
      for (int i = 0; i < 6; i++) {
        String prefix = "Oc" + i + "n";
        Client client = new Client(proxy);
        ends.add(clients.submit(() -> {
          for (int n = 0; ; n++) {
            String line;
            try {
              line = client.ask(READ.replace("O9b", prefix + n));
            } catch (IOException e) {
              return "end"; // the request crossed the end of its connection
            }
            if (!"SERVER_ERROR busy".equals(line)) {
              client.close();
              return line == null ? "end" : line;
            }
            answers.incrementAndGet();
            sending.countDown();
          }
        }));
      }
      sending.await();
      proxy.proxy.drain();
      for (Future<String> end : ends) {
        assertEquals("end", end.get(5, TimeUnit.SECONDS));
      }
      clients.shutdown();
      Counters counters = proxy.proxy.counters();
      assertEquals(answers.get(), counters.get(Counter.REQUESTS_TAKEN), "what was taken was answered");
      assertEquals(0, counters.get(Counter.ANSWERS_OVERDUE));
    }
  }

  /** Guards against a request that is still open when the SIGKILL comes: its time is cut short. */
  @Test
  void whatNobodyAnswersIsFailedBeforeTheEnd() throws Exception {
    try (Stub cache = silentCache(); ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> event instanceof RequestReceived e
          ? List.of(new Send(e.id(), "cache", 0))
          : event instanceof AttemptEnded e ? List.of(new Refuse(e.id(), 0)) : List.of();
      client.say(READ.replace("4000", "60000"));
      cache.nextLine();
      long before = System.nanoTime();
      proxy.proxy.drain();
      double took = (System.nanoTime() - before) / 1e6;
      assertTrue(took < 1700, "a SIGKILL comes a deadline of 1 s and 0.7 s later; took " + took);
      assertEquals("SERVER_ERROR busy", client.line(), "the module answers, its attempt timed out");
      assertEquals(Result.TIMEOUT, proxy.ended().result());
    }
  }

  /** Guards against a list that is asked for behind the module's back, which costs discovery work. */
  @Test
  void aListThatMustBeAskedForIsAskedForByTheModuleAlone() throws Exception {
    String list = "{\"seq\":2,\"whole\":true,\"hosts\":["
        + ProxyFixture.host("s-2", "127.0.0.1:1", "m2") + "]}\n";
    ProxyFixture.Module module = new ProxyFixture.Module();
    module.script = event -> event instanceof ListReceived e && e.kind() == ListKind.REMEMBERED
        ? List.of(new FollowList()) : List.of();
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
          + "\r\n" + list + "\r\n");
    })) {
      Proxy proxy = new Proxy(ProxyFixture.config(List.of(), 1024, discovery.address(),
          ProxyFixture.SETTINGS.replace("automatic", "subscribe")), settings -> module);
      try {
        proxy.start();
        assertEquals(ListKind.REMEMBERED, module.next(ListReceived.class).kind());
        ListReceived full = module.next(ListReceived.class);
        assertEquals(ListKind.FULL, full.kind());
        assertEquals("s-2", full.endpoints().get(0).id());
        assertEquals(ListKind.UNAVAILABLE, module.next(ListReceived.class).kind());
        assertEquals("GET /discovery/hosts?watch=1&from=1 HTTP/1.1", discovery.nextLine());
        assertNull(module.events.poll(500, TimeUnit.MILLISECONDS), "nobody asked again");
        assertEquals(1, discovery.connections());
      } finally {
        proxy.stop();
      }
    }
  }

  @Test
  void countersAreToldOnRequest() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.sendTo("cache");
      assertEquals("SERVER_ERROR busy", client.ask(READ));
      client.say("stats\r\n");
      StringBuilder stats = new StringBuilder();
      for (String line = client.line(); !line.equals("END"); line = client.line()) {
        stats.append(line).append('\n');
      }
      assertTrue(stats.toString().contains("STAT requests_taken 1\n"), stats.toString());
      assertTrue(stats.toString().contains("STAT attempts_connect_failed 1\n"), stats.toString());
      assertTrue(stats.toString().contains("STAT answered_refused 1\n"), stats.toString());
    }
  }
}

package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.settings.Address;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The watch of the list, against a scripted discovery. */
@Timeout(30)
class HostListWatcherTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final long SHORTEST_TIME_OUT = 1500; // of a watch, in the tests that look at its waits

  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().build();
  private final List<Long> waits = Collections.synchronizedList(new ArrayList<>());
  private final ScheduledExecutorService loop =
      new ScheduledThreadPoolExecutor(1, new ThreadPoolExecutor.DiscardPolicy()) {
        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
          if (unit == TimeUnit.MILLISECONDS && delay > 0 && delay < SHORTEST_TIME_OUT) {
            waits.add(delay);
          }
          return super.schedule(task, delay, unit);
        }
      };
  private final LinkedBlockingQueue<HostList> lists = new LinkedBlockingQueue<>();
  private final Counters counters = new Counters();
  private HostListWatcher watch;

  @BeforeEach
  void start() throws Exception {
    transport.start();
  }

  @AfterEach
  void stop() throws Exception {
    transport.shutdownNow();
    loop.shutdownNow();
  }

  private void follow(Stub discovery, long silenceMs) {
    watch =
        new HostListWatcher(transport, loop, counters, new Random(1), Address.parse(discovery.address()), 41,
            lists::add, () -> watch.followLater(), silenceMs, silenceMs / 2);
    loop.execute(watch::follow);
  }

  private HostList next() throws InterruptedException {
    HostList list = lists.poll(5, TimeUnit.SECONDS);
    assertTrue(list != null, "no list came");
    return list;
  }

  private static String list(long version, boolean whole, String hosts) {
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  @Test
  void changesComeAsTheyAreWrittenAndALineMayBeSplitOverChunks() throws Exception {
    String host = "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:7\",\"site\":\"a\",\"class\":\"m2\",\"block\":3,"
        + "\"health\":\"Terminating\",\"share\":1.5,\"born_ms\":7}";
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      String second = list(43, false, host);
      peer.say(HEAD + chunk(list(42, true, "")) + chunk("\n") + chunk(second.substring(0, 9)));
      peer.say(chunk(second.substring(9)));
      peer.beSilent();
    })) {
      follow(discovery, 5000);
      assertTrue(next().whole());
      HostList list = next();
      assertEquals(new HostList.Host("s-1", Address.parse("127.0.0.1:7"),
          "a", "m2", 3, HostList.Health.TERMINATING, 1.5, 7),
          list.hosts().get(0));
      assertEquals("GET /discovery/hosts?watch=1&from=41 HTTP/1.1", discovery.nextLine());
    }
  }

  /** What a silent watch misses counts as told 6 s after: each break in a quiet hour is mended as soon. */
  @Test
  void aWatchThatBreaksAgainAndAgainWithoutAChangeBetweenIsAskedForAsSoonEachTime() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(peer.stub().connections() < 7 ? "\n" : list(44, true, "")));
      if (peer.stub().connections() == 7) {
        peer.beSilent();
      }
    })) {
      follow(discovery, HostListWatcher.HEARTBEAT_TIMEOUT_MS);
      assertEquals(44, next().version());
      assertEquals(6, waits.size());
      assertTrue(Collections.max(waits) + HostListWatcher.HEARTBEAT_TIMEOUT_MS < 6000, "waits: " + waits);
      assertTrue(Collections.max(waits) <= 150, "waits: " + waits);
    }
  }

  /** Lists may come indented, and one that breaks off must not swallow those after it. */
  @Test
  void aListMayBeIndentedAndOneThatBreaksOffBringsTheWholeListAgain() throws Exception {
    String odd = "{\"host\":\"s-\\\\\\\"}{\",\"health\":\"Gone\"}";
    String indented = new GsonBuilder().setPrettyPrinting().create()
        .toJson(JsonParser.parseString(list(42, true, odd)));
    assertTrue(indented.lines().count() > 8);
    try (Stub discovery = new Stub(peer -> {
      boolean again = peer.head().contains("from=0 ");
      peer.say(HEAD);
      for (int i = 0; !again && i < indented.length(); i += 7) {
        peer.say(chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
      }
      peer.say(again ? chunk(list(44, true, "")) : chunk("\r\n\n{\n  \"seq\":\n\n"));
      peer.beSilent();
    })) {
      follow(discovery, 5000);
      assertEquals("s-\\\"}{", next().hosts().get(0).host());
      assertEquals(44, next().version());
    }
  }

  /** Guards against a proxy that stays with an old list once its watch has ended, or misses a change. */
  @Test
  void aWatchThatEndsIsAskedForAgainFromTheLastVersion() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      String head = peer.head();
      peer.say(HEAD + chunk(list(head.contains("from=41") ? 50 : 51, false, "")));
      if (head.contains("from=50")) {
        peer.beSilent();
      }
    })) {
      follow(discovery, 5000);
      assertEquals(50, next().version());
      assertEquals(51, next().version());
      assertEquals(1, counters.get(Counter.WATCHES_BROKEN));
    }
  }

  /** Guards against a discovery that is down: it is silent, and its connection would never end. */
  @Test
  void aSilentWatchIsGivenUpAndAskedForAgain() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (peer.stub().connections() < 2) {
        peer.beSilent();
      }
      peer.say(HEAD + chunk(list(44, true, "")));
      peer.beSilent();
    })) {
      follow(discovery, 100);
      assertEquals(44, next().version());
      assertTrue(discovery.ends.take());
    }
  }

  /** Guards against a gap in what discovery tells, while the watch moves to another address. */
  @Test
  void aWatchThatMovesReadsTheOldAddressUntilTheNewOneHasBroughtSomething() throws Exception {
    try (Stub old = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(list(42, true, "")));
      peer.stub().ends.take(); // the new one has been asked
      peer.say(chunk(list(43, false, "")));
      peer.beSilent();
    }); Stub next = new Stub(peer -> {
      peer.head();
      peer.stub().ends.take(); // the old one has told more
      peer.say(HEAD + chunk("\n"));
      peer.stub().ends.take(); // the old one has been left
      peer.say(chunk(list(44, false, "")));
      peer.beSilent();
    })) {
      follow(old, 5000);
      assertEquals(42, next().version());
      loop.execute(() -> watch.move(Address.parse(next.address())));
      assertEquals("GET /discovery/hosts?watch=1&from=42 HTTP/1.1", next.nextLine());
      old.ends.add(true);
      assertEquals(43, next().version());
      next.ends.add(true);
      assertTrue(old.ends.take(), "the old one is left");
      next.ends.add(true);
      assertEquals(44, next().version());
      assertEquals(0, counters.get(Counter.WATCHES_BROKEN));
      assertEquals(1, next.connections());
    }
  }

  /** Guards against a second move, or an end of the old watch, that leaves none or two open. */
  @Test
  void aWatchMayMoveTwiceInARowAndLoseTheOldOneMeanwhile() throws Exception {
    try (Stub old = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(list(42, true, "")));
      peer.stub().ends.take();
    }); Stub silent = new Stub(Stub.Peer::beSilent); Stub last = new Stub(peer -> {
      peer.head();
      peer.stub().ends.take();
      peer.say(HEAD + chunk(list(43, false, "")));
      peer.beSilent();
    })) {
      follow(old, 5000);
      next();
      loop.execute(() -> watch.move(Address.parse(silent.address())));
      loop.execute(() -> watch.move(Address.parse(last.address())));
      last.nextLine();
      old.ends.add(true);
      last.ends.add(true);
      assertEquals(43, next().version());
      assertEquals(1, last.connections());
      assertEquals(0, counters.get(Counter.WATCHES_BROKEN));
    }
  }

  /** Guards against a move that is forgotten where the watch is broken and waits to be asked for again. */
  @Test
  void aMoveWhileTheWatchWaitsIsForTheNextOne() throws Exception {
    try (Stub next = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(list(44, true, "")));
      peer.beSilent();
    })) {
      LinkedBlockingQueue<Boolean> broken = new LinkedBlockingQueue<>();
      watch = new HostListWatcher(transport, loop, counters, new Random(1), Address.parse(Stub.nobody()), 41,
          lists::add, () -> broken.add(true), 5000, 5000);
      loop.execute(watch::follow);
      assertTrue(broken.take());
      loop.execute(() -> {
        if (!watch.move(Address.parse(next.address()))) {
          watch.followLater();
        }
      });
      assertEquals(44, next().version());
    }
  }

  @Test
  void aLineThatIsNoListBringsTheWholeListAgain() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      String head = peer.head();
      peer.say(HEAD + chunk(head.contains("from=0") ? list(45, true, "") : "{\"seq\":42}\n"));
      peer.beSilent();
    })) {
      follow(discovery, 5000);
      assertEquals(45, next().version());
    }
  }

  @Test
  void whatIsNoListIsToldSo() {
    for (String text : new String[] {"[]", "{}", "{\"seq\":1,\"whole\":true}", "7"}) {
      assertThrows(JsonParseException.class, () -> HostList.parse(text), text);
    }
  }

  /** Guards against one odd entry that keeps all others from being known, or its port from being checked. */
  @Test
  void anOddEntryIsLeftOut() {
    HostList list = HostList.parse(list(1, true, "{},7,"
        + "{\"host\":\"a\",\"dial\":\"nowhere\",\"health\":\"Ready\"},"
        + "{\"host\":\"b\",\"dial\":\"1.2.3.4:70000\",\"health\":\"Ready\"},"
        + "{\"host\":\"c\",\"dial\":\"1.2.3.4:5\",\"health\":\"Fine\"},"
        + "{\"host\":\"d\",\"health\":\"Gone\"}"));
    assertEquals(1, list.hosts().size());
    assertEquals("d", list.hosts().get(0).host());
    assertEquals(HostList.Health.GONE, list.hosts().get(0).health());
  }

  /** Guards against a fleet that asks in step: discovery takes two calls at a time and turns others away. */
  @Test
  void fourteenWatchesThatAreTurnedAwayAreAllServedAndAskFewTimes() throws Exception {
    Semaphore free = new Semaphore(2);
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (!free.tryAcquire()) {
        peer.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      Thread.sleep(20); // its work
      peer.say(HEAD + chunk(list(42, true, "")));
      free.release();
      peer.beSilent();
    })) {
      List<HostListWatcher> fleet = new ArrayList<>();
      for (int i = 0; i < 14; i++) {
        int number = i;
        fleet.add(
            new HostListWatcher(transport, loop, counters, new Random(i), Address.parse(discovery.address()),
                41, lists::add, () -> fleet.get(number).followLater(), 60_000, 60_000));
      }
      loop.execute(() -> fleet.forEach(HostListWatcher::follow));
      for (int i = 0; i < 14; i++) {
        assertTrue(next().whole());
      }
      int calls = discovery.connections();
      assertTrue(calls > 14 && calls <= 14 * 8, "calls: " + calls);
    }
  }

  /** A list of one host, by its health. */
  private static String hostList(long version, String health) {
    return list(version, false,
        "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:7\",\"health\":\"" + health + "\"}");
  }

  /**
   * Discovery is down and silent, then has a drain to tell and can be reached: that counts as told at once.
   * Guards against a call from the silence that is waited for as long as for a heartbeat.
   */
  @Test
  void aCallThatCrossesTheEndOfAnOutageIsFollowedByAnotherSoon() throws Exception {
    AtomicLong backAt = new AtomicLong();
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (peer.stub().connections() < 2) {
        backAt.set(System.nanoTime()); // it is back just as it has dropped this call
        peer.beSilent();
      }
      peer.say(HEAD + chunk(hostList(44, "Terminating")));
      peer.beSilent();
    })) {
      watch = new HostListWatcher(transport, loop, counters, new Random(1),
          Address.parse(discovery.address()), 41,
          lists::add, () -> watch.followLater(), HostListWatcher.HEARTBEAT_TIMEOUT_MS,
          HostListWatcher.ANSWER_TIMEOUT_MS);
      loop.execute(watch::follow);
      assertEquals(HostList.Health.TERMINATING, next().hosts().get(0).health());
      long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - backAt.get());
      assertTrue(took < 2000, "told after " + took + " ms");
    }
  }

  /** Guards against a discovery that is slow, whose every answer would come to a call that was given up. */
  @Test
  void aSlowAnswerIsTakenFromACallThatOthersHaveFollowed() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (peer.stub().connections() == 1) {
        peer.stub().ends.take(); // it answers the first once there is a third
        peer.say(HEAD + chunk(list(44, true, "")));
      } else if (peer.stub().connections() == 3) {
        peer.stub().ends.add(true);
      }
      peer.beSilent();
    })) {
      watch = new HostListWatcher(transport, loop, counters, new Random(1),
          Address.parse(discovery.address()), 41,
          lists::add, () -> watch.followLater(), 20_000, 50);
      loop.execute(watch::follow);
      assertEquals(44, next().version());
      assertTrue(discovery.ends.poll(5, TimeUnit.SECONDS), "the others are given up");
    }
  }

  /** Guards against half a list, byte by byte: it is no heartbeat, and its end may never come. */
  @Test
  void aWatchThatBringsBytesAndNothingWholeIsSilent() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      boolean first = peer.stub().connections() == 1;
      peer.say(HEAD + (first ? "" : chunk(list(44, true, ""))));
      while (first) {
        peer.say(chunk(" "));
        Thread.sleep(20);
      }
      peer.beSilent();
    })) {
      follow(discovery, 300);
      assertEquals(44, next().version());
    }
  }

  /** Guards against a head that passes for a watch at work. */
  @Test
  void aWatchThatBringsAHeadAndNoListIsSilent() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + (peer.stub().connections() == 1 ? "" : chunk(list(44, true, ""))));
      peer.beSilent();
    })) {
      follow(discovery, 200);
      assertEquals(44, next().version());
      assertTrue(discovery.ends.poll(5, TimeUnit.SECONDS), "the first is given up");
    }
  }

  /** An answer may have neither a length nor chunks. */
  @Test
  void aWatchWithoutALengthIsReadAsItComes() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\n\r\n" + list(44, true, ""));
      peer.say(list(45, false, ""));
      peer.beSilent();
    })) {
      follow(discovery, 5000);
      assertEquals(44, next().version());
      assertEquals(45, next().version());
    }
  }

  /** All ways in which a call can fail: what discovery has is told within 6 s of its being reached. */
  @Test
  void noWayToFailMakesTheNextCallWaitForLong() {
    long longestWait = 3 * HostListWatcher.MAX_BACKOFF_MS / 2;
    assertTrue(
        HostListWatcher.HEARTBEAT_TIMEOUT_MS + longestWait + HostListWatcher.ANSWER_TIMEOUT_MS < 6000 - 1000);
    assertTrue(HostListWatcher.ANSWER_TIMEOUT_MS + longestWait < 2000);
  }
}

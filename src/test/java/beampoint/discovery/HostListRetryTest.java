package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.settings.Address;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When the list is asked for again: after an end, a silence, a move or an outage. */
@Timeout(30)
class HostListRetryTest extends HostListWatcherFixture {

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

  /** All ways in which a call can fail: what discovery has is told within 6 s of its being reached. */
  @Test
  void noWayToFailMakesTheNextCallWaitForLong() {
    long longestWait = 3 * HostListWatcher.MAX_BACKOFF_MS / 2;
    assertTrue(
        HostListWatcher.HEARTBEAT_TIMEOUT_MS + longestWait + HostListWatcher.ANSWER_TIMEOUT_MS < 6000 - 1000);
    assertTrue(HostListWatcher.ANSWER_TIMEOUT_MS + longestWait < 2000);
  }
}

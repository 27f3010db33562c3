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

/** When a watch is opened again: after it ended or was silent, after a move or an outage. */
@Timeout(30)
class HostListRetryTest extends HostListWatcherFixture {

  /**
   * A proxy must know a change after 6 s, even if its watch was silent. So a watch that breaks repeatedly,
   * with heartbeats only in between, must be opened again without a growing backoff.
   */
  @Test
  void aWatchThatBreaksRepeatedlyAfterHeartbeatsIsReopenedWithoutGrowingBackoff() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(peer.stub().connections() < 7 ? "\n" : list(44, true, "")));
      if (peer.stub().connections() == 7) {
        peer.beSilent();
      }
    })) {
      openWatch(discovery, HostListWatcher.HEARTBEAT_TIMEOUT_MS);
      assertEquals(44, next().version());
      assertEquals(6, backoffsMs.size());
      assertTrue(Collections.max(backoffsMs) + HostListWatcher.HEARTBEAT_TIMEOUT_MS < 6000,
          "backoffs in ms: " + backoffsMs);
      assertTrue(Collections.max(backoffsMs) <= 150, "backoffs in ms: " + backoffsMs);
    }
  }

  /** After the end of its watch a proxy must not keep an old list or miss a change. */
  @Test
  void aWatchThatEndsIsReopenedFromTheLastVersion() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      String head = peer.head();
      peer.say(HEAD + chunk(list(head.contains("from=41") ? 50 : 51, false, "")));
      if (head.contains("from=50")) {
        peer.beSilent();
      }
    })) {
      openWatch(discovery, 5000);
      assertEquals(50, next().version());
      assertEquals(51, next().version());
      assertEquals(1, counters.get(Counter.WATCHES_BROKEN));
    }
  }

  /** The connection to a discovery that is down would stay open without any data. */
  @Test
  void aSilentWatchIsClosedAndReopened() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (peer.stub().connections() < 2) {
        peer.beSilent();
      }
      peer.say(HEAD + chunk(list(44, true, "")));
      peer.beSilent();
    })) {
      openWatch(discovery, 100);
      assertEquals(44, next().version());
      assertTrue(discovery.ends.take());
    }
  }

  /** No change must be missed while the watch moves to another address. */
  @Test
  void aWatchThatMovesReadsTheOldAddressUntilTheNewOneHasDeliveredSomething() throws Exception {
    try (Stub old = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(list(42, true, "")));
      peer.stub().ends.take(); // the new address has received the request
      peer.say(chunk(list(43, false, "")));
      peer.beSilent();
    }); Stub next = new Stub(peer -> {
      peer.head();
      peer.stub().ends.take(); // the old address has sent another list
      peer.say(HEAD + chunk("\n"));
      peer.stub().ends.take(); // the connection to the old address has been closed
      peer.say(chunk(list(44, false, "")));
      peer.beSilent();
    })) {
      openWatch(old, 5000);
      assertEquals(42, next().version());
      loop.execute(() -> watcher.move(Address.parse(next.address())));
      assertEquals("GET /discovery/hosts?watch=1&from=42 HTTP/1.1", next.nextLine());
      old.ends.add(true);
      assertEquals(43, next().version());
      next.ends.add(true);
      assertTrue(old.ends.take(), "the connection to the old address is closed");
      next.ends.add(true);
      assertEquals(44, next().version());
      assertEquals(0, counters.get(Counter.WATCHES_BROKEN));
      assertEquals(1, next.connections());
    }
  }

  /** After a second move, or the end of the old watch during a move, exactly one watch must be open. */
  @Test
  void aWatchMayMoveTwiceInARowWhileTheOldOneEnds() throws Exception {
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
      openWatch(old, 5000);
      next();
      loop.execute(() -> watcher.move(Address.parse(silent.address())));
      loop.execute(() -> watcher.move(Address.parse(last.address())));
      last.nextLine();
      old.ends.add(true);
      last.ends.add(true);
      assertEquals(43, next().version());
      assertEquals(1, last.connections());
      assertEquals(0, counters.get(Counter.WATCHES_BROKEN));
    }
  }

  /** A move must not be forgotten if the watch is broken and waits for its backoff. */
  @Test
  void aMoveDuringTheBackoffTakesEffectWithTheNextWatch() throws Exception {
    try (Stub next = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + chunk(list(44, true, "")));
      peer.beSilent();
    })) {
      LinkedBlockingQueue<Boolean> broken = new LinkedBlockingQueue<>();
      watcher =
          new HostListWatcher(transport, loop, counters, new Random(1), Address.parse(Stub.nobody()), 41,
              lists::add, () -> broken.add(true), 5000, 5000);
      loop.execute(watcher::openWatch);
      assertTrue(broken.take());
      loop.execute(() -> {
        if (!watcher.move(Address.parse(next.address()))) {
          watcher.openWatchLater();
        }
      });
      assertEquals(44, next().version());
    }
  }

  /** Discovery serves two requests at a time and rejects others, so a fleet must not retry in step. */
  @Test
  void fourteenWatchesThatAreRejectedAreAllServedAfterFewRetries() throws Exception {
    Semaphore free = new Semaphore(2);
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (!free.tryAcquire()) {
        peer.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      Thread.sleep(20); // the time to serve a request
      peer.say(HEAD + chunk(list(42, true, "")));
      free.release();
      peer.beSilent();
    })) {
      List<HostListWatcher> fleet = new ArrayList<>();
      for (int i = 0; i < 14; i++) {
        int number = i;
        fleet.add(
            new HostListWatcher(transport, loop, counters, new Random(i), Address.parse(discovery.address()),
                41, lists::add, () -> fleet.get(number).openWatchLater(), 60_000, 60_000));
      }
      loop.execute(() -> fleet.forEach(HostListWatcher::openWatch));
      for (int i = 0; i < 14; i++) {
        assertTrue(next().whole());
      }
      int calls = discovery.connections();
      assertTrue(calls > 14 && calls <= 14 * 8, "calls: " + calls);
    }
  }

  /** A list of one host with this health. */
  private static String hostList(long version, String health) {
    return list(version, false,
        "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:7\",\"health\":\"" + health + "\"}");
  }

  /**
   * Discovery was down and silent, and has a drain to announce as it can be reached again: a proxy must know
   * it soon. A request that was lost during the outage must not be waited for as long as for a heartbeat.
   */
  @Test
  void aRequestLostAtTheEndOfAnOutageIsFollowedByAnotherSoon() throws Exception {
    AtomicLong backAt = new AtomicLong();
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (peer.stub().connections() < 2) {
        backAt.set(System.nanoTime()); // it comes back just after it has dropped this request
        peer.beSilent();
      }
      peer.say(HEAD + chunk(hostList(44, "Terminating")));
      peer.beSilent();
    })) {
      watcher = new HostListWatcher(transport, loop, counters, new Random(1),
          Address.parse(discovery.address()), 41,
          lists::add, () -> watcher.openWatchLater(), HostListWatcher.HEARTBEAT_TIMEOUT_MS,
          HostListWatcher.RESPONSE_TIMEOUT_MS);
      loop.execute(watcher::openWatch);
      assertEquals(HostList.Health.TERMINATING, next().hosts().get(0).health());
      long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - backAt.get());
      assertTrue(took < 2000, "received after " + took + " ms");
    }
  }

  /** If discovery is slow, every response would come to a request that was given up already. */
  @Test
  void aSlowResponseToAnEarlierRequestIsRead() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      if (peer.stub().connections() == 1) {
        peer.stub().ends.take(); // it answers the first request once there is a third
        peer.say(HEAD + chunk(list(44, true, "")));
      } else if (peer.stub().connections() == 3) {
        peer.stub().ends.add(true);
      }
      peer.beSilent();
    })) {
      watcher = new HostListWatcher(transport, loop, counters, new Random(1),
          Address.parse(discovery.address()), 41,
          lists::add, () -> watcher.openWatchLater(), 20_000, 50);
      loop.execute(watcher::openWatch);
      assertEquals(44, next().version());
      assertTrue(discovery.ends.poll(5, TimeUnit.SECONDS), "the other watches are closed");
    }
  }

  /** Parts of a list are no heartbeat: they may arrive byte by byte, and the end of the list never. */
  @Test
  void aWatchThatDeliversBytesButNoListOrHeartbeatTimesOut() throws Exception {
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
      openWatch(discovery, 300);
      assertEquals(44, next().version());
    }
  }

  /** A response head alone must not count as a working watch. */
  @Test
  void aWatchThatDeliversAHeadButNoListTimesOut() throws Exception {
    try (Stub discovery = new Stub(peer -> {
      peer.head();
      peer.say(HEAD + (peer.stub().connections() == 1 ? "" : chunk(list(44, true, ""))));
      peer.beSilent();
    })) {
      openWatch(discovery, 200);
      assertEquals(44, next().version());
      assertTrue(discovery.ends.poll(5, TimeUnit.SECONDS), "the first watch is closed");
    }
  }

  /** However a request fails, a list must be known within 6 s of the time when discovery can be reached. */
  @Test
  void noKindOfFailureDelaysTheNextRequestForLong() {
    long longestWait = 3 * HostListWatcher.MAX_BACKOFF_MS / 2;
    assertTrue(
        HostListWatcher.HEARTBEAT_TIMEOUT_MS + longestWait + HostListWatcher.RESPONSE_TIMEOUT_MS < 6000
            - 1000);
    assertTrue(HostListWatcher.RESPONSE_TIMEOUT_MS + longestWait < 2000);
  }
}

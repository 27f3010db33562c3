package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.settings.Address;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Discovery moves to another address, whose list must be known 4 s after the SIGHUP. */
@Timeout(30)
class HostListMoveTest extends HostListWatcherFixture {

  private static final long MAX_MOVE_MS = 4_000;

  private static void sendList(Stub.Peer peer, int version) throws IOException, InterruptedException {
    peer.say(HEAD + chunk(list(version, true, "")));
    peer.beSilent();
  }

  /** A new address that fails at first, by a reset, silence or an error status, must be retried soon. */
  @Test
  void theListOfTheNewAddressIsReadInTimeThoughItFailsAtFirst() throws Exception {
    try (Stub old = new Stub(peer -> {
      peer.head();
      sendList(peer, 42);
    }); Stub next = new Stub(peer -> {
      peer.head();
      switch (peer.stub().connections()) {
        case 1 -> peer.reset();
        case 2 -> peer.beSilent();
        case 3 -> peer.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        default -> sendList(peer, 44);
      }
    })) {
      watcher = new HostListWatcher(transport, loop, counters, new Random(1),
          Address.parse(old.address()), 41,
          lists::add, () -> watcher.openWatchLater(), HostListWatcher.HEARTBEAT_TIMEOUT_MS,
          HostListWatcher.RESPONSE_TIMEOUT_MS);
      loop.execute(watcher::openWatch);
      assertEquals(42, lists.poll(5, TimeUnit.SECONDS).version());
      long movedAt = System.nanoTime();
      loop.execute(() -> watcher.move(Address.parse(next.address())));
      assertEquals(44, lists.poll(10, TimeUnit.SECONDS).version());
      long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - movedAt);
      assertTrue(took < MAX_MOVE_MS, "received after " + took + " ms");
    }
  }
}

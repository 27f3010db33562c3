package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.count.Counters;
import beampoint.settings.Address;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Discovery moves: what the new address has counts as told 4 s after the SIGHUP. */
@Timeout(30)
class WatchMoveTest {

  private static final long COUNTS_AS_TOLD_MS = 4_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().build();
  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final LinkedBlockingQueue<HostList> lists = new LinkedBlockingQueue<>();
  private HostListWatcher watch;

  @BeforeEach
  void start() throws IOException {
    transport.start();
  }

  @AfterEach
  void stop() throws IOException {
    transport.shutdownNow();
    loop.shutdownNow();
  }

  private static void tell(Stub.Peer peer, int version) throws IOException, InterruptedException {
    String list = "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[]}\n";
    peer.say(HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    peer.beSilent();
  }

  /** Guards against a new address that fails at first, in whatever way, and is asked again too late. */
  @Test
  void theListOfTheNewAddressIsTakenInTimeThoughItFailsAtFirst() throws Exception {
    try (Stub old = new Stub(peer -> {
      peer.head();
      tell(peer, 42);
    }); Stub next = new Stub(peer -> {
      peer.head();
      switch (peer.stub().connections()) {
        case 1 -> peer.reset();
        case 2 -> peer.beSilent();
        case 3 -> peer.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        default -> tell(peer, 44);
      }
    })) {
      watch = new HostListWatcher(transport, loop, new Counters(), new Random(1),
          Address.parse(old.address()), 41,
          lists::add, () -> watch.followLater(), HostListWatcher.HEARTBEAT_TIMEOUT_MS,
          HostListWatcher.ANSWER_TIMEOUT_MS);
      loop.execute(watch::follow);
      assertEquals(42, lists.poll(5, TimeUnit.SECONDS).version());
      long movedAt = System.nanoTime();
      loop.execute(() -> watch.move(Address.parse(next.address())));
      assertEquals(44, lists.poll(10, TimeUnit.SECONDS).version());
      long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - movedAt);
      assertTrue(took < COUNTS_AS_TOLD_MS, "told after " + took + " ms");
    }
  }
}

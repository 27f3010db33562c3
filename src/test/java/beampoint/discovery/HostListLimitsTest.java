package beampoint.discovery;

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
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The limit on the length of a list. */
@Timeout(60)
class HostListLimitsTest {

  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
      .setIOStrategy(SameThreadIOStrategy.getInstance()).build();
  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final LinkedBlockingQueue<HostList> lists = new LinkedBlockingQueue<>();

  @BeforeEach
  void start() throws IOException {
    transport.start();
  }

  @AfterEach
  void stop() throws IOException {
    transport.shutdownNow();
    loop.shutdownNow();
  }

  /** Sends a list of this length in bytes, without its line end, in chunks as large as a typical write. */
  private static void sendList(Stub.Peer peer, int length) throws IOException {
    String list = "{\"seq\":42,\"whole\":true,\"hosts\":[]}";
    String text = list + " ".repeat(length - list.length()) + "\n";
    for (int from = 0; from < text.length(); from += 32_768) {
      String part = text.substring(from, Math.min(text.length(), from + 32_768));
      peer.say(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
    }
  }

  /** An endless list must not use up the memory, and a long one must not be rejected below the limit. */
  @Test
  void listsUpToTheLimitAreReadAndLongerOnesEndTheWatch() throws Exception {
    int[] lengths = {HostListWatcher.MAX_LIST_BYTES - 1, HostListWatcher.MAX_LIST_BYTES,
        HostListWatcher.MAX_LIST_BYTES + 1};
    for (int length : lengths) {
      LinkedBlockingQueue<Boolean> breaks = new LinkedBlockingQueue<>();
      try (Stub discovery = new Stub(peer -> {
        peer.head();
        peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        sendList(peer, length);
        peer.beSilent();
      })) {
        HostListWatcher watcher = new HostListWatcher(transport, loop, new Counters(), new Random(1),
            Address.parse(discovery.address()), 0, lists::add, () -> breaks.add(true), 10_000, 5_000);
        loop.execute(watcher::openWatch);
        if (length <= HostListWatcher.MAX_LIST_BYTES) {
          HostList list = lists.poll(10, TimeUnit.SECONDS);
          assertTrue(list != null && list.version() == 42, "a list of " + length + " bytes");
          assertTrue(breaks.isEmpty());
        } else {
          assertTrue(breaks.poll(10, TimeUnit.SECONDS), "a list of " + length + " bytes");
          assertTrue(lists.isEmpty());
        }
      }
    }
  }
}

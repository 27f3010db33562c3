package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.count.Counters;
import beampoint.settings.Address;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A watcher against a scripted discovery; records the lists that it delivers and its backoffs. */
abstract class HostListWatcherFixture {

  static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  // Shorter delays are recorded as backoffs; timeouts are longer in the tests that check backoffs.
  private static final long MIN_TIMEOUT_MS = 1500;

  final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().build();
  final List<Long> backoffsMs = Collections.synchronizedList(new ArrayList<>());
  final ScheduledExecutorService loop =
      new ScheduledThreadPoolExecutor(1, new ThreadPoolExecutor.DiscardPolicy()) {
        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
          if (unit == TimeUnit.MILLISECONDS && delay > 0 && delay < MIN_TIMEOUT_MS) {
            backoffsMs.add(delay);
          }
          return super.schedule(task, delay, unit);
        }
      };
  final LinkedBlockingQueue<HostList> lists = new LinkedBlockingQueue<>();
  final Counters counters = new Counters();
  HostListWatcher watcher;

  @BeforeEach
  void start() throws Exception {
    transport.start();
  }

  @AfterEach
  void stop() throws Exception {
    transport.shutdownNow();
    loop.shutdownNow();
  }

  void openWatch(Stub discovery, long heartbeatTimeoutMs) {
    watcher =
        new HostListWatcher(transport, loop, counters, new Random(1), Address.parse(discovery.address()), 41,
            lists::add, () -> watcher.openWatchLater(), heartbeatTimeoutMs, heartbeatTimeoutMs / 2);
    loop.execute(watcher::openWatch);
  }

  HostList next() throws InterruptedException {
    HostList list = lists.poll(5, TimeUnit.SECONDS);
    assertTrue(list != null, "no list was received");
    return list;
  }

  static String list(long version, boolean whole, String hosts) {
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}

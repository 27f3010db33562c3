package beampoint.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When a send queue counts as empty, and what is left of a socket that is closed while it is watched. */
@Timeout(30)
class SendQueueMonitorTest {

  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final SendQueueMonitor monitor = new SendQueueMonitor(loop);
  private final CountDownLatch empty = new CountDownLatch(1);
  private Socket peer;
  private SocketChannel channel;

  @BeforeEach
  void connect() throws Exception {
    try (ServerSocketChannel server = ServerSocketChannel.open()) {
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      peer = new Socket();
      peer.setReceiveBufferSize(16 * 1024);
      peer.connect(server.getLocalAddress());
      channel = server.accept();
      channel.configureBlocking(false);
    }
  }

  @AfterEach
  void close() throws Exception {
    loop.shutdownNow();
    monitor.close();
    peer.close();
    channel.close();
  }

  private void watch() throws Exception {
    loop.submit(() -> monitor.whenEmpty(channel, empty::countDown)).get();
  }

  private boolean isEmptyWithin(long ms) throws InterruptedException {
    return empty.await(ms, TimeUnit.MILLISECONDS);
  }

  @Test
  void anUnusedQueueIsEmptyAtOnce() throws Exception {
    watch();
    assertTrue(isEmptyWithin(0));
  }

  /** What is left when the queue is empty fits into the peer's receive buffer, which it has told. */
  @Test
  void aQueueIsEmptyOnceThePeerHasReadAllButItsReceiveBuffer() throws Exception {
    int written = channel.write(ByteBuffer.allocate(1 << 20));
    watch();
    assertFalse(isEmptyWithin(100), "the peer has read nothing");
    peer.getInputStream().readNBytes(written / 2);
    assertFalse(isEmptyWithin(100), "the peer has read a half");
    peer.getInputStream().readNBytes(written - written / 2);
    assertTrue(isEmptyWithin(5000));
  }

  @Test
  void aSocketThatIsClosedMeanwhileIsReleasedAndItsTaskNeverRuns() throws Exception {
    channel.write(ByteBuffer.allocate(1 << 20));
    watch();
    channel.close();
    assertFalse(isEmptyWithin(100));
    loop.submit(() -> assertFalse(channel.isRegistered())).get();
  }

  @Test
  void aClosedMonitorRunsNoTask() throws Exception {
    channel.write(ByteBuffer.allocate(1 << 20));
    watch();
    monitor.close();
    peer.close();
    assertFalse(isEmptyWithin(100));
  }
}

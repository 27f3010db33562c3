package beampoint.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The soak's own servers accept connections at once, and a time for which they can't is known to the run. */
@Timeout(30)
class SoakPeerTest {

  private static final int CONNECTIONS = 50;

  /** Waits for the end of each connection, and names the thread that serves it. */
  private static final class NamingPeer extends SoakPeer {
    private final Queue<Thread> serving = new ConcurrentLinkedQueue<>();
    private final CountDownLatch served = new CountDownLatch(CONNECTIONS);

    NamingPeer(RunContext context) throws IOException {
      super("peer", context, new SplittableRandom(1), false);
    }

    @Override
    void serve(Stub.Peer peer) throws IOException {
      serving.add(Thread.currentThread());
      served.countDown();
      peer.beSilent();
    }
  }

  private static Socket connect(String address) throws IOException {
    return new Socket(InetAddress.getByName("127.0.0.1"), Integer.parseInt(address.split(":")[1]));
  }

  /**
   * Guards against attempts that seem to be late: with a thread started for each connection, a peer accepted
   * a burst of connections up to 0.4 s after proxies had sent their attempts.
   */
  @Test
  void aBurstOfConnectionsIsServedByThreadsStartedBefore() throws Exception {
    RunContext context = RunContext.injecting(null);
    List<Socket> sockets = new ArrayList<>();
    try (NamingPeer peer = new NamingPeer(context)) {
      List<Thread> before = List.copyOf(Thread.getAllStackTraces().keySet());
      for (int i = 0; i < CONNECTIONS; i++) {
        sockets.add(connect(peer.address()));
      }
      assertTrue(peer.served.await(10, TimeUnit.SECONDS));
      assertEquals(CONNECTIONS, peer.serving.stream().distinct().count());
      assertTrue(before.containsAll(peer.serving), "a thread was started for a connection");
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
      context.clock().stop();
    }
  }

  /** While a stub hands a connection over it accepts no other one, and it tells how long that took. */
  @Test
  void aStubTellsForHowLongItAcceptedNoConnection() throws Exception {
    Queue<Long> busyMs = new ConcurrentLinkedQueue<>();
    CountDownLatch accepted = new CountDownLatch(2);
    try (Stub stub = new Stub(peer -> {}, task -> RunClock.sleep(100), durationNanos -> {
      busyMs.add(TimeUnit.NANOSECONDS.toMillis(durationNanos));
      accepted.countDown();
    })) {
      connect(stub.address()).close();
      connect(stub.address()).close();
      assertTrue(accepted.await(10, TimeUnit.SECONDS));
    }
    assertTrue(busyMs.stream().allMatch(ms -> ms >= 100), "busy for " + busyMs + " ms");
  }

  /** An attempt that a peer records late is explained by the time for which the peer accepted nothing. */
  @Test
  void aTimeWithoutAcceptsIsAStallOfTheHarness() throws Exception {
    RunContext context = RunContext.injecting(null);
    StallTrace stalls = context.clock().machineStalls();
    context.clock().stop();
    try (NamingPeer peer = new NamingPeer(context)) {
      RunClock.sleep(500); // the last measurement of the clock itself has ended
      double now = context.clock().now();
      peer.recordBusy(TimeUnit.MILLISECONDS.toNanos(4));
      assertEquals(0, peerStall(stalls, now), "4 ms are usual");
      peer.recordBusy(TimeUnit.MILLISECONDS.toNanos(150));
      assertEquals(150, peerStall(stalls, now), 20);
    }
  }

  private static double peerStall(StallTrace stalls, double now) {
    return stalls.longestStallMs(now - 150, now + 10);
  }
}

package beampoint.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The limit on messages that wait while the event loop does not run. */
@Timeout(60)
class DatagramsTest {

  private final Queue<Runnable> queued = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queuedCount = new AtomicInteger();
  private final AtomicInteger processed = new AtomicInteger();
  private final Counters counters = new Counters();
  private final Codec codec = new Codec("north");

  private void run(Runnable task) {
    queued.add(task);
    queuedCount.incrementAndGet();
  }

  /** Sends a message and waits until it was read, because the socket buffer cannot hold all of them. */
  private void send(DatagramSocket from, InetSocketAddress to) throws Exception {
    MemberState self = new MemberState("n1", "127.0.0.1:1", Status.ALIVE, 1, false, "n1");
    byte[] bytes = codec.write(new Message(Message.Kind.PING, 1, self, "", List.of()));
    long before = queuedCount.get() + counters.get(Counter.MEMBER_MESSAGES_DROPPED);
    from.send(new DatagramPacket(bytes, bytes.length, to));
    while (queuedCount.get() + counters.get(Counter.MEMBER_MESSAGES_DROPPED) == before) {
      Thread.onSpinWait();
    }
  }

  /** The queue must be able to hold one message of every member of the largest fleet. */
  @Test
  void oneMessageOfEachMemberIsQueuedAndOneMoreIsDroppedAndCounted() throws Exception {
    InetSocketAddress address;
    try (DatagramSocket free = new DatagramSocket(0, java.net.InetAddress.getByName("127.0.0.1"))) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    Datagrams datagrams = new Datagrams(codec, this::run, counters, m -> processed.incrementAndGet());
    datagrams.listen(address);
    try (DatagramSocket peer = new DatagramSocket()) {
      while (queuedCount.get() < Datagrams.MAX_QUEUED - 1) {
        send(peer, address);
      }
      assertEquals(0, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "one below the limit");
      send(peer, address);
      assertEquals(0, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "at the limit");
      send(peer, address);
      assertEquals(1, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "one above the limit");
      queued.forEach(Runnable::run);
      assertEquals(Datagrams.MAX_QUEUED, processed.get());
      send(peer, address);
      assertEquals(1, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "the queue is empty again");
    } finally {
      datagrams.close();
    }
  }
}

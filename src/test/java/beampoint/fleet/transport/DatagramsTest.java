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

/** Messages that wait for a loop that stands still. */
@Timeout(60)
class DatagramsTest {

  private final Queue<Runnable> waiting = new ConcurrentLinkedQueue<>();
  private final AtomicInteger came = new AtomicInteger();
  private final AtomicInteger taken = new AtomicInteger();
  private final Counters counters = new Counters();
  private final Codec codec = new Codec("north");

  private void run(Runnable task) {
    waiting.add(task);
    came.incrementAndGet();
  }

  /** Sends one, and waits until it was read: the system's own buffer holds fewer. */
  private void send(DatagramSocket from, InetSocketAddress to) throws Exception {
    MemberState self = new MemberState("n1", "127.0.0.1:1", Status.ALIVE, 1, false, "n1");
    byte[] bytes = codec.write(new Message(Message.Kind.PING, 1, self, "", List.of()));
    long before = came.get() + counters.get(Counter.MEMBER_MESSAGES_DROPPED);
    from.send(new DatagramPacket(bytes, bytes.length, to));
    while (came.get() + counters.get(Counter.MEMBER_MESSAGES_DROPPED) == before) {
      Thread.onSpinWait();
    }
  }

  /** Guards against a limit under which a message of each member of the largest fleet can't wait. */
  @Test
  void aMessageOfEachMemberMayWaitAndOneMoreIsDroppedAndCounted() throws Exception {
    InetSocketAddress address;
    try (DatagramSocket free = new DatagramSocket(0, java.net.InetAddress.getByName("127.0.0.1"))) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    Datagrams datagrams = new Datagrams(codec, this::run, counters, m -> taken.incrementAndGet());
    datagrams.listen(address);
    try (DatagramSocket peer = new DatagramSocket()) {
      while (came.get() < Datagrams.MAX_WAITING - 1) {
        send(peer, address);
      }
      assertEquals(0, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "one below");
      send(peer, address);
      assertEquals(0, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "as many as may wait");
      send(peer, address);
      assertEquals(1, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "one above");
      waiting.forEach(Runnable::run);
      assertEquals(Datagrams.MAX_WAITING, taken.get());
      send(peer, address);
      assertEquals(1, counters.get(Counter.MEMBER_MESSAGES_DROPPED), "there is room again");
    } finally {
      datagrams.close();
    }
  }
}

package beampoint.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whole views over sockets, up to the largest fleet that there may be. */
@Timeout(60)
class ViewExchangerTest {

  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
      .setIOStrategy(SameThreadIOStrategy.getInstance()).build();
  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final Counters counters = new Counters();
  private final Codec codec = new Codec("north");
  private final LinkedBlockingQueue<List<MemberState>> toAsked = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<List<MemberState>> toAsking = new LinkedBlockingQueue<>();
  private volatile List<MemberState> ofAsked = List.of();
  private volatile List<MemberState> ofAsking = List.of();
  private ViewExchanger asking;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    transport.start();
    address = new ViewExchanger(transport, loop, codec, counters, () -> ofAsked, toAsked::add)
        .listen(new InetSocketAddress("127.0.0.1", 0));
    asking = new ViewExchanger(transport, loop, codec, counters, () -> ofAsking, toAsking::add);
  }

  @AfterEach
  void stop() throws IOException {
    transport.shutdownNow();
    loop.shutdownNow();
  }

  private static List<MemberState> view(int members) {
    return IntStream.range(0, members).mapToObj(i -> new MemberState("proxy-" + i + "x".repeat(80),
        "10.11.12.13:" + (10_000 + i), Status.ALIVE, 1L << 40, false, "proxy-" + i + "y".repeat(80)))
        .toList();
  }

  /** Guards against a fleet that has grown past a limit of its exchanges, and learns by datagrams only. */
  @Test
  void bothSidesGetTheWholeViewOfTheOtherAtAnySizeOfTheFleet() throws Exception {
    for (int members : new int[] {1, 2_300, Codec.MAX_VIEW_MEMBERS - 1, Codec.MAX_VIEW_MEMBERS}) {
      ofAsked = view(members);
      ofAsking = view(members - 1);
      asking.exchange(address);
      assertEquals(ofAsking, toAsked.poll(10, TimeUnit.SECONDS), "to the member that was asked: " + members);
      assertEquals(ofAsked, toAsking.poll(10, TimeUnit.SECONDS), "to the member that asked: " + members);
    }
    assertEquals(0, counters.get(Counter.MEMBER_MESSAGES_DROPPED));
    ofAsking = view(Codec.MAX_VIEW_MEMBERS + 1);
    asking.exchange(address);
    while (counters.get(Counter.MEMBER_MESSAGES_DROPPED) == 0) {
      Thread.onSpinWait();
    }
    assertTrue(toAsked.isEmpty());
  }

  /** A length is taken up to that of the longest view, and ends the connection one above. */
  @Test
  void aStatedLengthIsWaitedForUpToThatOfTheLongestView() throws Exception {
    int[] lengths = {Codec.MAX_VIEW_BYTES - 1, Codec.MAX_VIEW_BYTES, Codec.MAX_VIEW_BYTES + 1};
    for (int length : lengths) {
      try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
        peer.getOutputStream().write(ByteBuffer.allocate(4).putInt(length).array());
        if (length > Codec.MAX_VIEW_BYTES) {
          assertEquals(-1, peer.getInputStream().read(), "it is ended");
          assertEquals(3, counters.get(Counter.MEMBER_MESSAGES_DROPPED));
        } else {
          peer.getOutputStream().write(new byte[length]); // no view, and read to its end
          assertEquals(-1, peer.getInputStream().read());
        }
      }
    }
  }

  /** As many exchanges as may be open are; one more is turned away, and the next is taken when one ends. */
  @Test
  void oneExchangeMoreThanMayBeOpenIsTurnedAway() throws Exception {
    ofAsked = view(1);
    ofAsking = view(2);
    List<Socket> open = new ArrayList<>();
    try {
      while (open.size() < ViewExchanger.MAX_EXCHANGES - 1) {
        open.add(new Socket(address.getAddress(), address.getPort()));
      }
      asking.exchange(address);
      assertEquals(ofAsking, toAsked.poll(5, TimeUnit.SECONDS), "there is room for one");
      assertEquals(ofAsked, toAsking.poll(5, TimeUnit.SECONDS));
      Socket last = new Socket(address.getAddress(), address.getPort());
      while (ends(last, 200)) { // the end of the exchange may not have been seen yet
        last.close();
        last = new Socket(address.getAddress(), address.getPort());
      }
      open.add(last);
      try (Socket oneMore = new Socket(address.getAddress(), address.getPort())) {
        assertTrue(ends(oneMore, 1_000), "there is no room");
      }
      open.remove(0).close();
      while (toAsked.isEmpty()) {
        asking.exchange(address);
        Thread.sleep(20);
      }
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  /** True where the other side ends the connection within so many ms. */
  private static boolean ends(Socket socket, int within) throws IOException {
    socket.setSoTimeout(within);
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }
}

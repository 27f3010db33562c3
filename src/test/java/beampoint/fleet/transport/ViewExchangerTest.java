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

/** Exchanges of whole views over sockets, up to the largest supported fleet. */
@Timeout(60)
class ViewExchangerTest {

  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
      .setIOStrategy(SameThreadIOStrategy.getInstance()).build();
  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final Counters counters = new Counters();
  private final Codec codec = new Codec("north");
  private final LinkedBlockingQueue<List<MemberState>> receivedByResponder = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<List<MemberState>> receivedByInitiator = new LinkedBlockingQueue<>();
  private volatile List<MemberState> responderView = List.of();
  private volatile List<MemberState> initiatorView = List.of();
  private ViewExchanger initiator;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    transport.start();
    address = new ViewExchanger(transport, loop, codec, counters, () -> responderView,
        receivedByResponder::add)
        .listen(new InetSocketAddress("127.0.0.1", 0));
    initiator = new ViewExchanger(transport, loop, codec, counters, () -> initiatorView,
        receivedByInitiator::add);
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

  /**
   * If a limit of the exchange were below the size of the fleet, members would receive changes by datagrams
   * only.
   */
  @Test
  void bothSidesReceiveTheOthersWholeViewAtEveryFleetSize() throws Exception {
    for (int members : new int[] {1, 2_300, Codec.MAX_VIEW_MEMBERS - 1, Codec.MAX_VIEW_MEMBERS}) {
      responderView = view(members);
      initiatorView = view(members - 1);
      initiator.exchange(address);
      assertEquals(initiatorView, receivedByResponder.poll(10, TimeUnit.SECONDS),
          "received by the responder: " + members);
      assertEquals(responderView, receivedByInitiator.poll(10, TimeUnit.SECONDS),
          "received by the initiator: " + members);
    }
    assertEquals(0, counters.get(Counter.MEMBER_MESSAGES_DROPPED));
    initiatorView = view(Codec.MAX_VIEW_MEMBERS + 1);
    initiator.exchange(address);
    while (counters.get(Counter.MEMBER_MESSAGES_DROPPED) == 0) {
      Thread.onSpinWait();
    }
    assertTrue(receivedByResponder.isEmpty());
  }

  /** A length prefix up to that of the longest view is accepted; a greater one closes the connection. */
  @Test
  void aLengthPrefixIsAcceptedUpToTheLongestView() throws Exception {
    int[] lengths = {Codec.MAX_VIEW_BYTES - 1, Codec.MAX_VIEW_BYTES, Codec.MAX_VIEW_BYTES + 1};
    for (int length : lengths) {
      try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
        peer.getOutputStream().write(ByteBuffer.allocate(4).putInt(length).array());
        if (length > Codec.MAX_VIEW_BYTES) {
          assertEquals(-1, peer.getInputStream().read(), "the connection is closed");
          assertEquals(3, counters.get(Counter.MEMBER_MESSAGES_DROPPED));
        } else {
          peer.getOutputStream().write(new byte[length]); // not a valid view, but read to its end
          assertEquals(-1, peer.getInputStream().read());
        }
      }
    }
  }

  /** At the maximum of open exchanges, one more is rejected; the next is accepted once one has ended. */
  @Test
  void anExchangeAboveTheMaximumIsRejected() throws Exception {
    responderView = view(1);
    initiatorView = view(2);
    List<Socket> open = new ArrayList<>();
    try {
      while (open.size() < ViewExchanger.MAX_EXCHANGES - 1) {
        open.add(new Socket(address.getAddress(), address.getPort()));
      }
      initiator.exchange(address);
      assertEquals(initiatorView, receivedByResponder.poll(5, TimeUnit.SECONDS),
          "one more exchange is allowed");
      assertEquals(responderView, receivedByInitiator.poll(5, TimeUnit.SECONDS));
      Socket last = new Socket(address.getAddress(), address.getPort());
      while (isClosed(last, 200)) { // the end of the exchange may not have been processed yet
        last.close();
        last = new Socket(address.getAddress(), address.getPort());
      }
      open.add(last);
      try (Socket oneMore = new Socket(address.getAddress(), address.getPort())) {
        assertTrue(isClosed(oneMore, 1_000), "the maximum is reached");
      }
      open.remove(0).close();
      while (receivedByResponder.isEmpty()) {
        initiator.exchange(address);
        Thread.sleep(20);
      }
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  /** Returns true if the other side closes the connection within the given time in ms. */
  private static boolean isClosed(Socket socket, int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }
}

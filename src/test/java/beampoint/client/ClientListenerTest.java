package beampoint.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.transport.Arrivals;
import beampoint.transport.SocketReadFilter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against accepted requests that are lost when clients connect while the listener closes. */
@Timeout(30)
class ClientListenerTest {

  private static final String REQUEST = "mg 7f3a v O9b Pc=read,d=400\r\n";

  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().build();
  private final ScheduledThreadPoolExecutor tasks = new ScheduledThreadPoolExecutor(1);
  private final LinkedBlockingQueue<String> read = new LinkedBlockingQueue<>();
  private ClientListener listener;
  private InetSocketAddress address;

  private static final class ImmediateArrivals implements Arrivals {
    @Override
    public double earliest() {
      return 0;
    }

    @Override
    public long passNumber() {
      return 0;
    }

    @Override
    public void afterNextRead(Runnable task) {
      throw new IllegalStateException("no command is late in this test");
    }
  }

  @BeforeEach
  void listen() throws IOException {
    listener = new ClientListener(transport, tasks, new ImmediateArrivals());
    listener.setMaxConnections(100);
    transport.start();
    address = listener.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0),
        FilterChainBuilder.stateless().add(new SocketReadFilter()).add(new BaseFilter() {
          @Override
          public NextAction handleAccept(FilterChainContext ctx) {
            listener.accepted(ctx.getConnection());
            return ctx.getInvokeAction();
          }

          @Override
          public NextAction handleRead(FilterChainContext ctx) {
            read.add(((Buffer) ctx.getMessage()).toStringContent());
            return ctx.getStopAction();
          }
        }).build());
  }

  @AfterEach
  void stop() throws IOException {
    tasks.shutdownNow();
    transport.shutdownNow();
  }

  private Socket connectAndSend() throws IOException {
    Socket client = new Socket(address.getAddress(), address.getPort());
    client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
    return client;
  }

  @Test
  void clientPendingAtTheLastAcceptIsRead() throws Exception {
    listener.deregister();
    try (Socket client = connectAndSend()) {
      assertTrue(client.isConnected());
      listener.acceptAllPending();
      listener.closeChannel();
      assertEquals(REQUEST, read.poll(5, TimeUnit.SECONDS));
    }
  }

  @Test
  void clientConnectingBetweenTheLastAcceptAndTheCloseIsResetUnread() throws Exception {
    listener.deregister();
    listener.acceptAllPending();
    try (Socket client = connectAndSend()) {
      listener.closeChannel();
      assertThrows(SocketException.class, () -> client.getInputStream().read());
      assertEquals(0, read.size());
    }
    assertThrows(IOException.class, this::connectAndSend); // later connections are refused
  }
}

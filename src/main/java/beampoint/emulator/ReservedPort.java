package beampoint.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * A port on loopback that is reserved for a proxy. Without the reservation, the port could be assigned to
 * another process before the proxy listens on it. As proxies listen with SO_REUSEPORT, two proxies would then
 * share their clients.
 */
public final class ReservedPort implements AutoCloseable {

  private final SocketChannel holder; // bound but not listening, so that it accepts no connections
  private final int number;

  /** Reserves a free port. */
  public ReservedPort() throws IOException {
    holder = SocketChannel.open();
    holder.setOption(StandardSocketOptions.SO_REUSEPORT, true); // lets the proxy's listener bind to the port
    holder.bind(new InetSocketAddress("127.0.0.1", 0));
    number = ((InetSocketAddress) holder.getLocalAddress()).getPort();
  }

  public int number() {
    return number;
  }

  @Override
  public void close() throws IOException {
    holder.close();
  }
}

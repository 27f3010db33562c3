package beampoint.transport;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Closes a connection in two steps: the output is shut down at once, and input is still read for a while. If
 * a socket is closed while it holds unread bytes, the system sends a reset, which destroys what the peer has
 * not read yet. The caller must have written everything, and must discard what is read from then on.
 */
public final class LingeringClose {

  /** How long the peer has to close its side after the output was shut down, in ms. */
  public static final long LINGER_MS = 500;

  private LingeringClose() {}

  /** Starts the close; the connection ends when the peer closes it, or after {@link #LINGER_MS}. */
  public static void begin(Connection<?> connection, ScheduledExecutorService loop) {
    try {
      ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
      loop.schedule(connection::terminateSilently, LINGER_MS, TimeUnit.MILLISECONDS);
    } catch (IOException e) {
      connection.terminateSilently(); // the connection has ended already
    }
  }
}

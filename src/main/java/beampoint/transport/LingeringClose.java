package beampoint.transport;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Closes a connection in two steps: sending ends at once, and what the peer still sends is read for a while.
 * Guards against a close over bytes that nobody has read: the system makes it a reset, and that takes with it
 * what the peer has not read yet. Who calls it has written all, and drops what is read from then on.
 */
public final class LingeringClose {

  /** In ms: after the end of sending, until the peer has seen it and ended too. */
  public static final long LINGER_MS = 500;

  private LingeringClose() {}

  /** Begins the close; the connection ends with the peer's end, or after a time. */
  public static void begin(Connection<?> connection, ScheduledExecutorService loop) {
    try {
      ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
      loop.schedule(connection::terminateSilently, LINGER_MS, TimeUnit.MILLISECONDS);
    } catch (IOException e) {
      connection.terminateSilently(); // it has ended already
    }
  }
}

package beampoint.transport;

import java.io.EOFException;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;

/** How a peer has ended its connection. */
public final class PeerEnd {

  private PeerEnd() {}

  /** True where the peer closed it in order; a reset is no end of what it was sending. */
  public static boolean isOrderly(Connection<?> connection) {
    CloseReason reason = connection.getCloseReason();
    return reason != null && reason.getCause() instanceof EOFException;
  }
}

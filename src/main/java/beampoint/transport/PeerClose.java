package beampoint.transport;

import java.io.EOFException;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;

/** Tells whether a peer closed its connection or reset it. */
public final class PeerClose {

  private PeerClose() {}

  /** True if the peer closed the connection with a FIN; after a reset, what it was sending may be cut off. */
  public static boolean isOrderly(Connection<?> connection) {
    CloseReason reason = connection.getCloseReason();
    return reason != null && reason.getCause() instanceof EOFException;
  }
}

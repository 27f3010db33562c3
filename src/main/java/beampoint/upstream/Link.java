package beampoint.upstream;

import beampoint.http.HttpHead;
import java.net.SocketAddress;
import java.util.concurrent.Future;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;

/**
 * One connection to an endpoint, with at most one request out: to give that up is to close the connection,
 * and no other request hangs on it. Belongs to the decision thread.
 */
final class Link {

  final Pool pool;
  Connection<SocketAddress> connection; // null while it is being made
  Flight flight;
  Future<?> connectTimer;
  double idleSince;
  HttpHead head;
  Buffer body;
  boolean closed;
  /** True once the last byte of the request was written: from then on it may have run. */
  boolean written;

  Link(Pool pool, Flight flight) {
    this.pool = pool;
    this.flight = flight;
  }

  void close() {
    closed = true;
    if (connection != null) {
      connection.terminateSilently();
    }
  }
}

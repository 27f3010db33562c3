package beampoint.upstream;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.buffer.Stream;
import beampoint.http.HttpHead;
import java.net.SocketAddress;
import java.util.concurrent.Future;
import org.glassfish.grizzly.Connection;

/**
 * One connection to an endpoint, with at most one request out: to give that up is to close the connection,
 * and no other request hangs on it. Belongs to the decision thread.
 */
final class PooledConnection {

  final Pool pool;
  Connection<SocketAddress> connection; // null while it is being made
  InFlight flight;
  Future<?> connectTimer;
  double begunAt; // when its connection was asked for
  double idleSince;
  HttpHead head;
  Collector body; // of an answer that is held until it is whole
  Budget.Claim claim; // for that
  Stream stream; // a long value on its way to the client
  double movedAt; // when bytes of it last came, or it was let go on
  boolean paused; // until the client has taken more
  boolean closed;
  /** True once the last byte of the request was written: from then on it may have run. */
  boolean written;

  PooledConnection(Pool pool, InFlight flight) {
    this.pool = pool;
    this.flight = flight;
  }

  void close() {
    closed = true;
    if (claim != null) {
      claim.release();
    }
    if (connection != null) {
      connection.terminateSilently();
    }
  }
}

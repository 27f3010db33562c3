package beampoint.upstream;

import beampoint.buffer.Collector;
import beampoint.buffer.Stream;
import beampoint.http.HttpHead;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Future;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One connection to an endpoint, with at most one request in flight, so that a request can be abandoned by
 * closing its connection without affecting others. Confined to the decision thread.
 */
final class PooledConnection {

  final Pool pool;
  Connection<SocketAddress> connection; // null while it is being established
  UpstreamRequest inFlight;
  Future<?> connectTimer;
  double connectStartedAt;
  double idleSince;
  /** True if its last reply named no request, so that a late second one could be taken for the next reply. */
  boolean mustRest;
  HttpHead httpHead;
  Collector bodyCollector; // of a reply that is buffered until it is complete
  int skippedBodyBytes; // of a reply whose body is no answer
  Stream valueStream; // a long value that is passed on to the client as it is read
  UpstreamRequest streamedFor; // the request that was answered with this value
  double lastProgressAt; // when bytes were last read, or reading was paused or resumed
  boolean readingPaused; // until the client has taken more of the value
  boolean closed;
  /** True once the last byte of the request was written: from then on the server may have executed it. */
  boolean requestWritten;

  PooledConnection(Pool pool, UpstreamRequest inFlight) {
    this.pool = pool;
    this.inFlight = inFlight;
  }

  /**
   * Reads a byte that has arrived while no request is in flight: returns 1 if there was one, 0 if nothing has
   * come, and -1 if the connection has ended. Unless it is 0 the connection can't be used any more.
   */
  int readUnsolicited() {
    try {
      return connection.isOpen() ? channel().read(ByteBuffer.allocate(1)) : -1;
    } catch (IOException e) {
      return -1;
    }
  }

  private SocketChannel channel() {
    return (SocketChannel) ((NIOConnection) connection).getChannel();
  }

  /** Makes the close a reset: what the system holds for the peer is not sent any more. */
  void dropUnsentOnClose() {
    try {
      channel().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // the connection has ended, and nothing more is sent
    }
  }

  void close() {
    closed = true;
    if (bodyCollector != null) {
      bodyCollector.release();
    }
    if (connection != null) {
      connection.terminateSilently();
    }
  }
}

package beampoint.transport;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.DirectByteBufferRecord;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads from the socket, as the first filter of a chain. It replaces the library's own read for two reasons:
 * whenever a connection ends, the library formats a log message that it then discards, which makes an orderly
 * close as expensive as an error; and it reports an orderly close and a reset alike.
 */
public final class SocketReadFilter extends TransportFilter {

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    NIOConnection connection = (NIOConnection) ctx.getConnection();
    try {
      Buffer message = read(connection);
      if (message == null) {
        return ctx.getStopAction();
      }
      ctx.setMessage(message);
      return ctx.getInvokeAction();
    } catch (IOException e) {
      // Notifies the filters of the end, unless they have been notified already.
      connection.terminateWithReason(e);
      return ctx.getStopAction();
    }
  }

  /**
   * Reads once, at most the size of the connection's read buffer; returns null if nothing is available.
   *
   * @throws EOFException if the peer has closed the connection
   */
  static Buffer read(NIOConnection connection) throws IOException {
    DirectByteBufferRecord record = DirectByteBufferRecord.get();
    try {
      ByteBuffer bytes = record.allocate(connection.getReadBufferSize());
      int count = ((SocketChannel) connection.getChannel()).read(bytes);
      if (count < 0) {
        throw new EOFException("closed by the peer");
      }
      if (count == 0) {
        return null;
      }
      bytes.flip();
      Buffer message = connection.getMemoryManager().allocate(count);
      message.put(bytes);
      message.flip();
      message.allowBufferDispose(true);
      return message;
    } finally {
      record.release();
    }
  }
}

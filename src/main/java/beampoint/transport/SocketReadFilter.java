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
 * The socket's end of a filter chain. Guards against a peer that ends its connection, as each does in the
 * end, and costs as much as a fault: the library words a log line for it, and throws that away. It reads by
 * itself, as the library tells an orderly close and a reset alike.
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
      // The filters hear of its end, if they have not yet.
      connection.terminateWithReason(e);
      return ctx.getStopAction();
    }
  }

  /**
   * Reads once, at most what the connection's read buffer holds; null where nothing has come.
   *
   * @throws EOFException where the peer has ended the connection
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

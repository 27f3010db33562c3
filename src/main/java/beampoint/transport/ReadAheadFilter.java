package beampoint.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.ToDoubleFunction;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Reads from the socket, as the first filter of a chain. Unlike {@link SocketReadFilter}, it reads all that a
 * peer has sent, and passes on one read buffer of it in each selector pass. So if the peer has sent much, its
 * disconnect is seen in the next pass, and not only when all that it sent has been handled.
 */
public final class ReadAheadFilter extends TransportFilter {

  private static final int MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024; // on all connections together

  /** Bytes that were read, and the earliest time at which they can have arrived, in ms. */
  private record Chunk(Buffer bytes, double arrivedAt) {}

  /** What was read ahead on one connection. */
  private static final class Ahead {
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private double arrivedAt; // of the chunk that was passed on last
    private long pass = -1; // the selector pass in which that was
    private boolean isScheduled; // true if the next chunk will be passed on by a task
  }

  private final Attribute<Ahead> aheads =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("read-ahead", Ahead::new);
  private final Arrivals arrivals;
  private final ToDoubleFunction<Connection<?>> arrivedAt;
  private int bytes; // read ahead on all connections

  /**
   * Creates the filter for all connections of a chain.
   *
   * @param arrivedAt returns the earliest time at which what is read on a connection now can have arrived, in
   * ms
   */
  public ReadAheadFilter(Arrivals arrivals, ToDoubleFunction<Connection<?>> arrivedAt) {
    this.arrivals = arrivals;
    this.arrivedAt = arrivedAt;
  }

  /** The earliest time at which what is passed on for a connection now can have arrived, in ms. */
  public double arrivedAt(Connection<?> connection) {
    return aheads.get(connection).arrivedAt;
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    NIOConnection connection = (NIOConnection) ctx.getConnection();
    Ahead ahead = aheads.get(connection);
    try {
      readAll(connection, ahead);
    } catch (IOException e) {
      clear(ahead);
      connection.terminateWithReason(e); // notifies the filters, unless they were before
      return ctx.getStopAction();
    }
    if (ahead.chunks.isEmpty() || ahead.pass == arrivals.pass()) {
      schedule(connection, ahead);
      return ctx.getStopAction();
    }
    Chunk next = ahead.chunks.poll();
    bytes -= next.bytes().remaining();
    ahead.arrivedAt = next.arrivedAt();
    ahead.pass = arrivals.pass();
    schedule(connection, ahead);
    ctx.setMessage(next.bytes());
    return ctx.getInvokeAction();
  }

  /** Reads once, and if that fills the read buffer, until nothing is left or the limit is reached. */
  private void readAll(NIOConnection connection, Ahead ahead) throws IOException {
    Buffer message = SocketReadFilter.read(connection);
    boolean isFull = message != null && message.remaining() == connection.getReadBufferSize();
    while (message != null) {
      ahead.chunks.add(new Chunk(message, arrivedAt.applyAsDouble(connection)));
      bytes += message.remaining();
      message = isFull && bytes < MAX_READ_AHEAD_BYTES ? SocketReadFilter.read(connection) : null;
    }
  }

  private void schedule(NIOConnection connection, Ahead ahead) {
    if (!ahead.isScheduled && !ahead.chunks.isEmpty()) {
      ahead.isScheduled = true;
      arrivals.afterNextRead(() -> {
        ahead.isScheduled = false;
        if (connection.isOpen() && !ahead.chunks.isEmpty() && isReadingEnabled(connection)) {
          ((TCPNIOTransport) connection.getTransport()).fireIOEvent(IOEvent.READ, connection, null);
        }
      });
    }
  }

  private static boolean isReadingEnabled(NIOConnection connection) {
    SelectionKey key = connection.getSelectionKey();
    return key.isValid() && (key.interestOps() & SelectionKey.OP_READ) != 0;
  }

  /** Passes on what was read ahead before reading was disabled; called after it is enabled again. */
  public void resume(Connection<?> connection) {
    schedule((NIOConnection) connection, aheads.get(connection));
  }

  private void clear(Ahead ahead) {
    for (Chunk chunk : ahead.chunks) {
      bytes -= chunk.bytes().remaining();
      chunk.bytes().tryDispose();
    }
    ahead.chunks.clear();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) {
    clear(aheads.get(ctx.getConnection()));
    return ctx.getInvokeAction();
  }
}

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
 * The socket's end of a filter chain. Unlike {@link SocketReadFilter}, it reads all that a peer has sent, and hands
 * on one read buffer of it in each pass of the selector. So the end of a peer that has sent much is seen in
 * the next pass, and not only once all that it has sent is handled.
 */
public final class ReadAheadFilter extends TransportFilter {

  private static final int MAX_BYTES = 4 * 1024 * 1024; // read ahead on all connections together

  /** Bytes that were read, and when they can have come at the earliest, in ms. */
  private record Chunk(Buffer bytes, double arrivedAt) {}

  /** What was read of one connection and not handed on. */
  private static final class Ahead {
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private double arrivedAt; // of the chunk that was handed on last
    private long pass = -1; // in which that was
    private boolean isScheduled; // to hand on the next one
  }

  private final Attribute<Ahead> aheads =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("read-ahead", Ahead::new);
  private final Arrivals arrivals;
  private final ToDoubleFunction<Connection<?>> arrivedAt;
  private int bytes; // read ahead on all connections

  /**
   * A filter for all connections of a chain.
   *
   * @param arrivedAt when what is read of a connection now can have come at the earliest, in ms
   */
  public ReadAheadFilter(Arrivals arrivals, ToDoubleFunction<Connection<?>> arrivedAt) {
    this.arrivals = arrivals;
    this.arrivedAt = arrivedAt;
  }

  /** When what is handed on of a connection now can have come at the earliest, in ms. */
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
      connection.terminateWithReason(e); // the filters hear of its end, if they have not yet
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

  /** Reads once, and if that fills the read buffer, until there is no more or no room for it. */
  private void readAll(NIOConnection connection, Ahead ahead) throws IOException {
    Buffer message = SocketReadFilter.read(connection);
    boolean isFull = message != null && message.remaining() == connection.getReadBufferSize();
    while (message != null) {
      ahead.chunks.add(new Chunk(message, arrivedAt.applyAsDouble(connection)));
      bytes += message.remaining();
      message = isFull && bytes < MAX_BYTES ? SocketReadFilter.read(connection) : null;
    }
  }

  private void schedule(NIOConnection connection, Ahead ahead) {
    if (!ahead.isScheduled && !ahead.chunks.isEmpty()) {
      ahead.isScheduled = true;
      arrivals.afterNextRead(() -> {
        ahead.isScheduled = false;
        if (connection.isOpen() && !ahead.chunks.isEmpty() && isRead(connection)) {
          ((TCPNIOTransport) connection.getTransport()).fireIOEvent(IOEvent.READ, connection, null);
        }
      });
    }
  }

  private static boolean isRead(NIOConnection connection) {
    SelectionKey key = connection.getSelectionKey();
    return key.isValid() && (key.interestOps() & SelectionKey.OP_READ) != 0;
  }

  /** Hands on what was read before reading was disabled, now that it is enabled again. */
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

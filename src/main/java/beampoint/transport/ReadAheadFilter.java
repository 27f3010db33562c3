package beampoint.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
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
 * disconnect is seen in the next pass, and not only when all that it sent has been handled. What is not
 * passed on yet takes little memory: commands that are parsed take a multiple of their bytes.
 *
 * <p>The parser behind it may return the rest of a read buffer, so that the number of messages of a peer in
 * one pass is limited as well, however short they are.
 */
public final class ReadAheadFilter extends TransportFilter {

  private static final int MAX_MESSAGES_PER_PASS = 64; // of one connection
  private static final int MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024; // on all connections together

  /** Bytes that were read, and the earliest time at which they can have arrived, in ms. */
  private record Chunk(Buffer bytes, double arrivedAt) {}

  /** What was read ahead on one connection. */
  private static final class ReadAhead {
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private double arrivedAt; // when the chunk that was passed on last arrived, in ms
    private long pass = -1; // the selector pass in which the last chunk was passed on
    private int messages; // parsed in that pass
    private boolean hasUnread; // the socket may hold input, and the peer's close behind it

    /** True if chunks are to be passed on, or a read has to show whether there is unread input. */
    private boolean mustContinue() {
      return !chunks.isEmpty() || hasUnread;
    }
    private boolean isScheduled; // true if the next chunk will be passed on by a task
  }

  private final Attribute<ReadAhead> readAheads =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("read-ahead", ReadAhead::new);
  private final Arrivals arrivals;
  private final ToDoubleFunction<Connection<?>> arrivedAt;
  private final BooleanSupplier isCongested;
  private final LongConsumer bufferedListener;
  private final Consumer<Connection<?>> onReadToEnd;
  private int bufferedBytes; // on all connections

  /**
   * Creates the filter for all connections of a chain.
   *
   * @param arrivedAt returns the earliest time at which what is read on a connection now can have arrived, in
   * ms
   * @param isCongested returns true while nothing is to be passed on, as too much of it is not handled yet
   * @param bufferedListener receives the bytes that are read ahead each time that these grow
   * @param onReadToEnd receives each connection that has no unread input any more
   */
  public ReadAheadFilter(Arrivals arrivals, ToDoubleFunction<Connection<?>> arrivedAt,
      BooleanSupplier isCongested, LongConsumer bufferedListener, Consumer<Connection<?>> onReadToEnd) {
    this.onReadToEnd = onReadToEnd;
    this.isCongested = isCongested;
    this.bufferedListener = bufferedListener;
    this.arrivals = arrivals;
    this.arrivedAt = arrivedAt;
  }

  /** The earliest time at which what is passed on for a connection now can have arrived, in ms. */
  public double arrivedAt(Connection<?> connection) {
    return readAheads.get(connection).arrivedAt;
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    NIOConnection connection = (NIOConnection) ctx.getConnection();
    ReadAhead readAhead = readAheads.get(connection);
    try {
      readAll(connection, readAhead);
    } catch (IOException e) {
      clear(readAhead);
      connection.terminateWithReason(e); // notifies the filters, unless they have been notified already
      return ctx.getStopAction();
    }
    boolean isDue = readAhead.pass != arrivals.passNumber() && !isCongested.getAsBoolean();
    if (readAhead.chunks.isEmpty() || !isDue) {
      schedule(connection, readAhead);
      return ctx.getStopAction();
    }
    Chunk next = readAhead.chunks.poll();
    bufferedBytes -= next.bytes().remaining();
    readAhead.arrivedAt = next.arrivedAt();
    readAhead.pass = arrivals.passNumber();
    readAhead.messages = 0;
    schedule(connection, readAhead);
    ctx.setMessage(next.bytes());
    return ctx.getInvokeAction();
  }

  /**
   * True if the socket of a connection may hold input that was not read for lack of room: its peer may have
   * closed the connection behind that.
   */
  public boolean hasUnread(Connection<?> connection) {
    return readAheads.get(connection).hasUnread;
  }

  /** Counts a message that was parsed; returns false if the rest has to wait for the next pass. */
  public boolean mayParseMore(Connection<?> connection) {
    return ++readAheads.get(connection).messages < MAX_MESSAGES_PER_PASS;
  }

  /** Takes back the rest of what was passed on last, which is passed on again in the next pass. */
  public void takeBack(Connection<?> connection, Buffer rest) {
    ReadAhead readAhead = readAheads.get(connection);
    readAhead.chunks.addFirst(new Chunk(rest, readAhead.arrivedAt));
    bufferedBytes += rest.remaining();
    bufferedListener.accept(bufferedBytes);
    schedule((NIOConnection) connection, readAhead);
  }

  /**
   * Reads once, and if that fills the read buffer, until nothing is left or the limit is reached. Beyond the
   * limit nothing is read on a connection that has chunks to pass on.
   */
  private void readAll(NIOConnection connection, ReadAhead readAhead) throws IOException {
    if (bufferedBytes >= MAX_READ_AHEAD_BYTES && !readAhead.chunks.isEmpty()) {
      readAhead.hasUnread = true;
      return;
    }
    Buffer message = SocketReadFilter.read(connection);
    boolean isFull = message != null && message.remaining() == connection.getReadBufferSize();
    // More may have arrived behind a read that did not fill the buffer: only one that returns nothing shows
    // that all was read.
    boolean readsToEnd = isFull || readAhead.hasUnread;
    while (message != null) {
      readAhead.chunks.add(new Chunk(message, arrivedAt.applyAsDouble(connection)));
      bufferedBytes += message.remaining();
      bufferedListener.accept(bufferedBytes);
      if (readsToEnd && bufferedBytes >= MAX_READ_AHEAD_BYTES) {
        readAhead.hasUnread = true;
        return;
      }
      message = readsToEnd ? SocketReadFilter.read(connection) : null;
    }
    if (readAhead.hasUnread) {
      readAhead.hasUnread = false;
      onReadToEnd.accept(connection);
    }
  }

  private void schedule(NIOConnection connection, ReadAhead readAhead) {
    if (!readAhead.isScheduled && readAhead.mustContinue()) {
      readAhead.isScheduled = true;
      arrivals.afterNextRead(() -> {
        readAhead.isScheduled = false;
        if (connection.isOpen() && readAhead.mustContinue() && isReadingEnabled(connection)) {
          ((TCPNIOTransport) connection.getTransport()).fireIOEvent(IOEvent.READ, connection, null);
        }
      });
    }
  }

  private static boolean isReadingEnabled(NIOConnection connection) {
    SelectionKey key = connection.getSelectionKey();
    return key.isValid() && (key.interestOps() & SelectionKey.OP_READ) != 0;
  }

  private void clear(ReadAhead readAhead) {
    for (Chunk chunk : readAhead.chunks) {
      bufferedBytes -= chunk.bytes().remaining();
      chunk.bytes().tryDispose();
    }
    readAhead.chunks.clear();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) {
    clear(readAheads.get(ctx.getConnection()));
    return ctx.getInvokeAction();
  }
}

package beampoint.fleet.transport;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.MemberState;
import beampoint.transport.PeerFilter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Exchanges whole views, by TCP: who asks sends its own and gets the other's, each behind its length in four
 * bytes. Few at a time, none for long, and none longer than a view may be.
 */
public final class ViewExchanger {

  /**
   * Exchanges that may be open at once, whoever began them. Each member begins one in 30 s, less often in a
   * fleet of over a hundred, with a member that it draws, so about as many come to each, and last
   * milliseconds. What is more
   * would take descriptors and, at 1.3 MB a view, memory that requests need; who is turned away asks another
   * member at its next turn, and hears of changes by datagrams meanwhile.
   */
  public static final int MAX_EXCHANGES = 16;
  private static final long MAX_EXCHANGE_MS = 2_000;
  private static final int LENGTH_BYTES = 4;

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final Codec codec;
  private final Counters counters;
  private final Supplier<List<MemberState>> own;
  private final Consumer<List<MemberState>> received;
  private final AtomicInteger open = new AtomicInteger();

  /** The own view is asked for, and others' are told, in tasks of the loop. */
  public ViewExchanger(TCPNIOTransport transport, ScheduledExecutorService loop, Codec codec, Counters counters,
      Supplier<List<MemberState>> own, Consumer<List<MemberState>> received) {
    this.transport = transport;
    this.loop = loop;
    this.codec = codec;
    this.counters = counters;
    this.own = own;
    this.received = received;
  }

  /** Reads one view whole; who was asked answers with its own, and either ends the connection then. */
  private final class Side extends BaseFilter {
    private final boolean answers;

    Side(boolean answers) {
      this.answers = answers;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      watch(ctx.getConnection());
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Buffer bytes = ctx.getMessage();
      int length = bytes.remaining() < LENGTH_BYTES ? 0 : bytes.getInt(bytes.position());
      if (length < 0 || length > Codec.MAX_VIEW_BYTES) {
        counters.add(Counter.MEMBER_MESSAGES_DROPPED);
        ctx.getConnection().terminateSilently();
        return ctx.getStopAction();
      }
      if (bytes.remaining() < LENGTH_BYTES || bytes.remaining() < LENGTH_BYTES + length) {
        return ctx.getStopAction(bytes);
      }
      byte[] view = new byte[length];
      bytes.position(bytes.position() + LENGTH_BYTES);
      bytes.get(view);
      Connection<?> connection = ctx.getConnection();
      counters.add(Counter.MEMBER_BYTES_RECEIVED, LENGTH_BYTES + length);
      loop.execute(() -> take(connection, view, answers));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      open.decrementAndGet();
      return ctx.getInvokeAction();
    }
  }

  /** Guards against peers that connect and say nothing, or too many at once. */
  private void watch(Connection<?> connection) {
    if (open.incrementAndGet() > MAX_EXCHANGES) {
      connection.terminateSilently();
    } else {
      loop.schedule(connection::terminateSilently, MAX_EXCHANGE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void take(Connection<?> connection, byte[] bytes, boolean answers) {
    try {
      List<MemberState> view = codec.readView(bytes);
      if (answers) {
        write(connection, own.get());
      } else {
        connection.terminateSilently();
      }
      received.accept(view);
    } catch (MalformedMessageException e) {
      counters.add(Counter.MEMBER_MESSAGES_DROPPED);
      connection.terminateSilently();
    }
  }

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  private void write(Connection<?> connection, List<MemberState> view) {
    byte[] bytes = codec.writeView(view);
    counters.add(Counter.MEMBER_BYTES_SENT, LENGTH_BYTES + bytes.length);
    Buffer frame = transport.getMemoryManager().allocate(LENGTH_BYTES + bytes.length);
    frame.putInt(bytes.length).put(bytes).flip();
    ((Connection<SocketAddress>) connection).write(frame, new EmptyCompletionHandler<>() {});
  }

  private FilterChain chain(boolean answers) {
    return FilterChainBuilder.stateless().add(new PeerFilter()).add(new Side(answers)).build();
  }

  /** Listens to those that ask; returns the address, with the port that the system picks where it is 0. */
  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    return (InetSocketAddress) TCPNIOBindingHandler.builder(transport).processor(chain(true)).build()
        .bind(address).getLocalAddress();
  }

  /** Asks a member: it gets this one's view and its own comes back, or nothing does. */
  public void exchange(InetSocketAddress with) {
    TCPNIOConnectorHandler.builder(transport).processor(chain(false)).build().connect(with)
        .addCompletionHandler(new EmptyCompletionHandler<>() {
          @Override
          public void completed(@SuppressWarnings("rawtypes") Connection connection) {
            Connection<?> made = connection;
            loop.execute(() -> {
              watch(made);
              write(made, own.get());
            });
          }
        });
  }
}

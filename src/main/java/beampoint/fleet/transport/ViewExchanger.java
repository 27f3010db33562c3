package beampoint.fleet.transport;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.MemberState;
import beampoint.transport.SocketReadFilter;
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
 * Exchanges whole views by TCP: the initiator sends its own view and receives that of the other side. Each
 * view is preceded by its length in four bytes. The number of concurrent exchanges, the duration of each and
 * the length of a view are limited.
 */
public final class ViewExchanger {

  /**
   * The maximum number of concurrent exchanges, whichever side initiated them. Each member initiates one
   * exchange every 30 s with a random member, less often in fleets of more than 100 members. So each member
   * receives about as many, and an exchange lasts milliseconds. More exchanges would take file descriptors
   * and, at 1.3 MB per view, memory that requests need. A member that is rejected tries another one at its
   * next exchange and receives changes by datagrams meanwhile.
   */
  public static final int MAX_EXCHANGES = 16;
  private static final long MAX_EXCHANGE_MS = 2_000;
  private static final int LENGTH_BYTES = 4;

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final Codec codec;
  private final Counters counters;
  private final Supplier<List<MemberState>> ownView;
  private final Consumer<List<MemberState>> receiver;
  private final AtomicInteger openExchanges = new AtomicInteger();

  /**
   * Creates an exchanger that is not listening yet.
   *
   * @param loop the event loop, in whose tasks the own view is read and received views are passed on
   * @param ownView supplies the view to send
   * @param receiver accepts the views of other members
   */
  public ViewExchanger(TCPNIOTransport transport, ScheduledExecutorService loop, Codec codec,
      Counters counters, Supplier<List<MemberState>> ownView,
      Consumer<List<MemberState>> receiver) {
    this.transport = transport;
    this.loop = loop;
    this.codec = codec;
    this.counters = counters;
    this.ownView = ownView;
    this.receiver = receiver;
  }

  /**
   * Reads one whole view. The responder then sends its own view; the initiator closes the connection.
   */
  private final class ExchangeFilter extends BaseFilter {
    private final boolean isResponder;

    ExchangeFilter(boolean isResponder) {
      this.isResponder = isResponder;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      limitExchange(ctx.getConnection());
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
      loop.execute(() -> process(connection, view, isResponder));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      openExchanges.decrementAndGet();
      return ctx.getInvokeAction();
    }
  }

  /**
   * Closes a connection that exceeds the maximum number of exchanges, and any other after the maximum
   * duration, because a peer may connect and never send anything.
   */
  private void limitExchange(Connection<?> connection) {
    if (openExchanges.incrementAndGet() > MAX_EXCHANGES) {
      connection.terminateSilently();
    } else {
      loop.schedule(connection::terminateSilently, MAX_EXCHANGE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void process(Connection<?> connection, byte[] bytes, boolean isResponder) {
    try {
      List<MemberState> view = codec.readView(bytes);
      if (isResponder) {
        write(connection, ownView.get());
      } else {
        connection.terminateSilently();
      }
      receiver.accept(view);
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

  private FilterChain chain(boolean isResponder) {
    return FilterChainBuilder.stateless().add(new SocketReadFilter()).add(new ExchangeFilter(isResponder))
        .build();
  }

  /**
   * Listens for exchanges; returns the bound address, with the port chosen by the system if the given one is
   * 0.
   */
  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    return (InetSocketAddress) TCPNIOBindingHandler.builder(transport).processor(chain(true)).build()
        .bind(address).getLocalAddress();
  }

  /** Initiates an exchange with a member; a failure is not reported. */
  public void exchange(InetSocketAddress peer) {
    TCPNIOConnectorHandler.builder(transport).processor(chain(false)).build().connect(peer)
        .addCompletionHandler(new EmptyCompletionHandler<>() {
          @Override
          public void completed(@SuppressWarnings("rawtypes") Connection connection) {
            Connection<?> opened = connection;
            loop.execute(() -> {
              limitExchange(opened);
              write(opened, ownView.get());
            });
          }
        });
  }
}

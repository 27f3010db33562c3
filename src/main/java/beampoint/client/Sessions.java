package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Intake;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.memcache.CommandFilter;
import beampoint.memcache.Writer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The client side: listens, and keeps the connections of clients within a number. */
public final class Sessions {

  private static final Log LOG = Log.of("client");
  private static final int MAX_PENDING = 32; // commands read and not answered, on one connection
  private static final long SWEEP_MS = 250;
  private static final double SILENCE_MS = 2000; // before the first command, or in the middle of one
  private static final double IDLE_MS = 15_000; // between commands
  private static final double CROWDED_IDLE_MS = 2000; // the same, at half of the connections that are many

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Intake intake;
  private final Counters counters;
  private final int maxConnections;
  private final int manyConnections; // from which on idle ones make room
  private final Writer writer;
  private final Map<Connection<?>, Session> open = new LinkedHashMap<>(); // the longest unused first
  private final AtomicInteger accepted = new AtomicInteger();
  private final Attribute<AtomicInteger> pending =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("pending-commands", AtomicInteger::new);
  private final CommandFilter codec = new CommandFilter();
  private TCPNIOServerConnection listener;
  private volatile boolean full;

  public Sessions(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      Intake intake, Counters counters, int maxConnections, int manyConnections) {
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    this.intake = intake;
    this.counters = counters;
    this.maxConnections = maxConnections;
    this.manyConnections = manyConnections;
    this.writer = new Writer(transport.getMemoryManager());
    loop.scheduleWithFixedDelay(this::closeStale, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /** Listens on this address only; returns it with the port that the system picks where it is 0. */
  public InetSocketAddress listen(SocketAddress address) throws IOException {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new TransportFilter())
        .add(codec).add(new Events());
    listener = TCPNIOBindingHandler.builder(transport).processor(chain.build()).build().bind(address);
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** Hands on what was read, as tasks that run once all that is ready has been read. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      counters.add(Counter.CLIENT_CONNECTIONS);
      if (accepted.incrementAndGet() >= maxConnections) {
        pauseAccepting();
      }
      loop.execute(() -> opened(connection));
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
      Connection<?> connection = ctx.getConnection();
      Command command = ctx.getMessage();
      double readAt = clock.getAsDouble();
      if (pending.get(connection).incrementAndGet() == MAX_PENDING) {
        connection.disableIOEvent(IOEvent.READ);
      }
      loop.execute(() -> {
        Session session = open.remove(connection);
        if (session != null) {
          open.put(connection, session);
          session.command(command, readAt);
        }
      });
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      accepted.decrementAndGet();
      loop.execute(() -> closed(connection));
      return ctx.getInvokeAction();
    }
  }

  private void opened(Connection<?> connection) {
    Session session = new Session(connection, this, clock.getAsDouble());
    open.put(connection, session);
    // Guards against a full house: who has said nothing for longest makes room for others, before who has
    // been idle for longest. Crowds that only connect, or ask once and stay, must not cost the usual clients
    // their connections, of which all clients together may hold fewer than there is room for here.
    if (open.size() > manyConnections) {
      Session old = longestUnused(true, session);
      old = old == null ? longestUnused(false, session) : old;
      if (old != null) {
        counters.add(Counter.CLIENT_CONNECTIONS_CLOSED_FULL);
        old.closeWhenIdle();
      }
    }
  }

  private Session longestUnused(boolean silent, Session except) {
    for (Session session : open.values()) {
      if (session != except && session.isSilent() == silent && session.isOpenAndIdle()) {
        return session;
      }
    }
    return null;
  }

  /**
   * Guards against connections that are held and not used, and so keep others out: clients that ask once and
   * stay were seen to take all that the clients' side may hold, long before the room here was full.
   */
  private void closeStale() {
    double now = clock.getAsDouble();
    double idle = open.size() > manyConnections / 2 ? CROWDED_IDLE_MS : IDLE_MS;
    for (Map.Entry<Connection<?>, Session> entry : List.copyOf(open.entrySet())) {
      entry.getValue().closeWhenStale(now, codec.hasHalf(entry.getKey()), SILENCE_MS, idle);
    }
  }

  private void closed(Connection<?> connection) {
    Session session = open.remove(connection);
    if (session != null) {
      session.closed();
    }
    if (full && accepted.get() < maxConnections) {
      full = false;
      setAccepting(true);
    }
  }

  /** Guards against accepting without end where no descriptor is left: new clients wait in the backlog. */
  private void pauseAccepting() {
    full = true;
    setAccepting(false);
  }

  private void setAccepting(boolean on) {
    try {
      if (on) {
        listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
      } else {
        listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
      }
    } catch (IOException e) {
      LOG.error("can't " + (on ? "resume" : "pause") + " accepting", e);
    }
  }

  /** How many commands were read on a connection whose answers are not written. */
  int pending(Connection<?> connection) {
    return pending.get(connection).get();
  }

  /** One more answer is written: the connection may be read again. */
  void answered(Connection<?> connection) {
    if (pending.get(connection).decrementAndGet() == MAX_PENDING / 2) {
      try {
        connection.enableIOEvent(IOEvent.READ);
      } catch (IOException e) {
        connection.terminateSilently();
      }
    }
  }

  /** Takes no more connections and ends those that there are, each once it has no command open. */
  public void drain() {
    if (listener != null) {
      listener.closeSilently();
    }
    List.copyOf(open.values()).forEach(Session::closeWhenIdle);
  }

  public int count() {
    return open.size();
  }

  Writer writer() {
    return writer;
  }

  Intake intake() {
    return intake;
  }

  Counters counters() {
    return counters;
  }

  ScheduledExecutorService loop() {
    return loop;
  }
}

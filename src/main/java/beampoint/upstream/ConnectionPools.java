package beampoint.upstream;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.http.HttpFilter;
import beampoint.memcache.ReplyFilter;
import beampoint.transport.PeerEnd;
import beampoint.transport.PeerFilter;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The connections to endpoints: makes them, keeps idle ones for the next request, and closes what is too old,
 * too many or worthless. Belongs to the decision thread.
 */
final class ConnectionPools {

  /** Who asks over the connections. */
  interface User {

    /** A connection stands, and its flight may be written. */
    void made(PooledConnection link);

    /** Something has come. */
    void read(PooledConnection link, Object message);

    /** The connection has ended or was never made; orderly: the peer has closed it, and not reset. */
    void lost(PooledConnection link, boolean orderly);

    /** The connection's flight, of which nothing was written, can't go there any more. */
    void unreachable(InFlight flight);
  }

  private static final double SETTLE_MS = 8; // after an answer, in which a second one may come

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Counters counters;
  private final User user;
  private double connectTimeout;
  private double idleTime;
  private int maxConnections = 2;
  private int maxToCaches = 1;
  private final TCPNIOConnectorHandler toCaches;
  private final TCPNIOConnectorHandler toOrigin;
  private final Map<String, Pool> byEndpoint = new TreeMap<>();
  private final Attribute<PooledConnection> linkOf =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("pooled-connection");
  private int connections;

  ConnectionPools(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      Counters counters, User user) {
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    this.user = user;
    this.toCaches = connector(new ReplyFilter(transport.getMemoryManager()));
    this.toOrigin = connector(new HttpFilter(HttpFilter.Side.RESPONSES));
  }

  private TCPNIOConnectorHandler connector(Filter codec) {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new PeerFilter()).add(new Unasked())
        .add(codec).add(new Events());
    return TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /**
   * Ends a connection on which bytes come while nothing is asked on it. Guards against half a line that is
   * kept, and stands before the answer to the next request.
   */
  private final class Unasked extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      PooledConnection link = linkOf.get(ctx.getConnection());
      if (link != null && link.flight == null && link.stream == null) {
        counters.add(Counter.UPSTREAM_BAD_REPLIES);
        ctx.getConnection().terminateSilently();
        return ctx.getStopAction();
      }
      return ctx.getInvokeAction();
    }
  }

  /** Hands on what was read, as tasks that run once all that is ready has been read. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      PooledConnection link = linkOf.get(ctx.getConnection());
      Object message = ctx.getMessage();
      loop.execute(() -> user.read(link, message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      PooledConnection link = linkOf.get(ctx.getConnection());
      if (link != null) {
        boolean orderly = PeerEnd.isOrderly(ctx.getConnection());
        loop.execute(() -> user.lost(link, orderly));
      }
      return ctx.getInvokeAction();
    }
  }

  /** Sets how long a connection may take to be made, and after how long peers close an idle one. */
  void setTimeouts(double connect, double idle) {
    connectTimeout = connect;
    // Guards against a request that crosses the cache node's own closing of an idle connection.
    idleTime = idle - Math.min(idle / 2, Math.max(idle / 10, 2 * connect));
  }

  double connectTimeout() {
    return connectTimeout;
  }

  /** Sets how many connections there may be; idle ones beyond that are closed. */
  void resize(int most) {
    maxConnections = most;
    // Guards against caches whose silence holds all connections: misses and writes need the origin.
    maxToCaches = most - Math.max(1, most / 8);
    while (connections > maxConnections && closeLongestIdle()) {
      // one less
    }
  }

  /** Takes an endpoint's address; a new address or a new start makes its old connections worthless. */
  void place(String endpoint, InetSocketAddress dial, boolean origin, double startedAt) {
    Pool pool = byEndpoint.get(endpoint);
    if (pool == null || !dial.equals(pool.dial) || startedAt != pool.startedAt) {
      remove(endpoint);
      pool = new Pool(endpoint, dial, startedAt);
      byEndpoint.put(endpoint, pool);
    }
    pool.origin = origin;
  }

  /** Forgets an endpoint that is gone; the connections still in use are closed once they are free. */
  void remove(String endpoint) {
    closeIdle(endpoint);
    bar(endpoint);
    byEndpoint.remove(endpoint);
  }

  /**
   * Guards against a request that waits for its connection while its endpoint is told to drain, is gone or
   * has started anew: the connection may come up long after the grace, and would carry it there.
   */
  void bar(String endpoint) {
    Pool pool = byEndpoint.get(endpoint);
    for (PooledConnection link : pool == null ? List.<PooledConnection>of() : List.copyOf(pool.connecting)) {
      InFlight flight = link.flight;
      link.flight = null; // the connection may still be made
      if (flight != null) {
        user.unreachable(flight);
      }
    }
  }

  /** Forgets all endpoints but these. */
  void retain(Set<String> endpoints) {
    List.copyOf(byEndpoint.keySet()).stream().filter(e -> !endpoints.contains(e)).forEach(this::remove);
  }

  /** Closes the idle connections to an endpoint. */
  void closeIdle(String endpoint) {
    Pool pool = byEndpoint.get(endpoint);
    while (pool != null && !pool.idle.isEmpty()) {
      close(pool.idle.pop());
    }
  }

  /** Where an endpoint is reached, or null. */
  Pool pool(String endpoint) {
    return byEndpoint.get(endpoint);
  }

  /**
   * An idle connection for the next request, or null: the last used that has rested a while. Guards against a
   * second answer that comes late, and would be taken for the next one's; the origin's has no id that tells.
   * What has stood idle for too long is closed first: the sweep may not have met it.
   */
  PooledConnection idle(Pool pool) {
    closeOld(pool);
    double settled = clock.getAsDouble() - SETTLE_MS;
    for (PooledConnection link : pool.idle) {
      if (link.idleSince <= settled) {
        pool.idle.remove(link);
        return link;
      }
    }
    return pool.origin && hasRoom(pool) ? null : pool.idle.poll();
  }

  /** True where one more connection to an endpoint may be made, if need be in place of an idle one. */
  boolean hasRoom(Pool pool) {
    return connections < (pool.origin ? maxConnections : maxToCaches) || closeLongestIdle();
  }

  int connections() {
    return connections;
  }

  /** Makes a connection for a flight. */
  void connect(PooledConnection link) {
    connections++;
    counters.add(Counter.UPSTREAM_CONNECTIONS);
    link.flight.link = link;
    link.pool.connecting.add(link);
    link.begunAt = clock.getAsDouble();
    var made = (link.pool.origin ? toOrigin : toCaches).connect(link.pool.dial);
    link.connectTimer = loop.schedule(() -> {
      if (link.connection == null) {
        made.cancel(true); // closes the socket
        user.lost(link, false);
      }
    }, (long) (Math.max(0, connectTimeout) * 1000), TimeUnit.MICROSECONDS);
    made.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        linkOf.set(connection, link);
        loop.execute(() -> connected(link, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> user.lost(link, false));
      }
    });
  }

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  private void connected(PooledConnection link, Connection<?> connection) {
    link.connection = (Connection<SocketAddress>) connection;
    link.pool.connecting.remove(link);
    link.connectTimer.cancel(false);
    if (link.closed) {
      connection.terminateSilently();
    } else if (link.flight == null) {
      release(link, false);
      link.idleSince = link.begunAt; // for the peer it is as old
    } else {
      user.made(link);
    }
  }

  /**
   * Guards against a connection used again though more stands on it than its answer, or though its endpoint
   * is gone, has moved or has started anew.
   */
  void release(PooledConnection link, boolean spent) {
    if (spent || byEndpoint.get(link.pool.endpoint) != link.pool) {
      close(link);
    } else {
      rest(link);
    }
  }

  private void rest(PooledConnection link) {
    link.flight = null;
    link.written = false;
    link.idleSince = clock.getAsDouble();
    link.pool.idle.push(link);
  }

  void close(PooledConnection link) {
    if (!link.closed) {
      link.close();
      connections--;
      counters.check(connections >= 0, "no more connections end than were begun");
      link.flight = null;
      link.pool.idle.remove(link);
      link.pool.connecting.remove(link);
    }
  }

  /** Closes connections that have stood idle for too long. */
  void closeOld() {
    byEndpoint.values().forEach(this::closeOld);
  }

  private void closeOld(Pool pool) {
    double before = clock.getAsDouble() - idleTime;
    while (!pool.idle.isEmpty() && pool.idle.peekLast().idleSince < before) {
      close(pool.idle.peekLast());
    }
  }

  /** Guards against running out of descriptors while idle connections hold them. */
  private boolean closeLongestIdle() {
    PooledConnection oldest = null;
    for (Pool pool : byEndpoint.values()) {
      PooledConnection last = pool.idle.peekLast();
      if (last != null && (oldest == null || last.idleSince < oldest.idleSince)) {
        oldest = last;
      }
    }
    if (oldest != null) {
      close(oldest);
    }
    return oldest != null;
  }
}

package beampoint.upstream;

import beampoint.buffer.Budget;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.http.HttpFilter;
import beampoint.memcache.ReplyFilter;
import beampoint.transport.PeerClose;
import beampoint.transport.SocketReadFilter;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
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
 * The connection pools of all endpoints: opens connections, keeps idle ones for later requests, and closes
 * those that are idle for too long, beyond the limit or stale. Confined to the decision thread.
 */
final class ConnectionPools {

  /** Receives the events of the pooled connections. */
  interface Listener {

    /** A connection is established, and its request may be written. */
    void connected(PooledConnection pooled);

    /**
     * A message was read.
     *
     * @param readFor the request that was in flight when it was read; null if there was none
     */
    void received(PooledConnection pooled, UpstreamRequest readFor, Object message);

    /**
     * The connection has ended or could not be established.
     *
     * @param orderly true if the peer closed it with a FIN, false after a reset or a failed connect
     */
    void closed(PooledConnection pooled, boolean orderly);

    /** A request of which nothing was written can't be sent to its endpoint any more. */
    void unreachable(UpstreamRequest inFlight);
  }

  /**
   * The time between a reply that names no request and the connection's reuse, in which a late second reply
   * would show up.
   */
  private static final double MIN_REST_MS = 20;

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Counters counters;
  private final Listener listener;
  private double connectTimeoutMs;
  private double maxIdleMs;
  private int maxConnections = 2;
  private int maxCacheConnections = 1;
  private final TCPNIOConnectorHandler cacheConnector;
  private final TCPNIOConnectorHandler originConnector;
  private final Map<String, Pool> byEndpoint = new TreeMap<>();
  private final Attribute<PooledConnection> pooledOf =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("pooled-connection");
  private int openConnections;

  ConnectionPools(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      Counters counters, Budget budget, Listener listener) {
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    this.listener = listener;
    this.cacheConnector = connector(new ReplyFilter(transport.getMemoryManager(), budget));
    this.originConnector = connector(new HttpFilter(HttpFilter.MessageKind.RESPONSES));
  }

  private TCPNIOConnectorHandler connector(Filter codec) {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new SocketReadFilter())
        .add(new ReplyBeginFilter()).add(codec).add(new EventFilter());
    return TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /**
   * Records that the reply to the request in flight has begun. Closes a connection that receives bytes while
   * no request is in flight on it: the codec could buffer an incomplete line and prepend it to the reply to
   * the next request.
   */
  private final class ReplyBeginFilter extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      PooledConnection pooled = pooledOf.get(ctx.getConnection());
      if (pooled != null && pooled.inFlight == null && pooled.valueStream == null) {
        counters.add(Counter.UPSTREAM_BAD_REPLIES);
        ctx.getConnection().terminateSilently();
        return ctx.getStopAction();
      }
      if (pooled != null && pooled.inFlight != null) {
        pooled.inFlight.replyRead(clock.getAsDouble());
      }
      return ctx.getInvokeAction();
    }
  }

  /** Passes messages on as tasks, which run once the selector has read all ready connections. */
  private final class EventFilter extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      PooledConnection pooled = pooledOf.get(ctx.getConnection());
      Object message = ctx.getMessage();
      UpstreamRequest readFor = pooled.inFlight;
      loop.execute(() -> listener.received(pooled, readFor, message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      PooledConnection pooled = pooledOf.get(ctx.getConnection());
      if (pooled != null) {
        boolean orderly = PeerClose.isOrderly(ctx.getConnection());
        loop.execute(() -> listener.closed(pooled, orderly));
      }
      return ctx.getInvokeAction();
    }
  }

  /**
   * Sets the timeouts.
   *
   * @param connectMs the connect timeout
   * @param idleMs the time after which peers close an idle connection
   */
  void setTimeouts(double connectMs, double idleMs) {
    connectTimeoutMs = connectMs;
    // Idle connections are closed before the peer does, so that no request crosses with the peer's close.
    maxIdleMs = idleMs - Math.min(idleMs / 2, Math.max(idleMs / 10, 2 * connectMs));
  }

  double connectTimeoutMs() {
    return connectTimeoutMs;
  }

  /** Sets the maximum number of connections; idle ones beyond it are closed. */
  void setMaxConnections(int max) {
    maxConnections = max;
    // Part is reserved for the origin: unresponsive caches must not use up the connections that misses and
    // writes need.
    maxCacheConnections = max - Math.max(1, max / 8);
    while (openConnections > maxConnections && closeLongestIdle()) {
      // continue until the limit is met
    }
  }

  /** Adds or updates an endpoint; after a new address or a restart its old connections are not reused. */
  void putEndpoint(String endpoint, InetSocketAddress address, boolean isOrigin, double startedAt) {
    Pool pool = byEndpoint.get(endpoint);
    if (pool == null || !address.equals(pool.address) || startedAt != pool.endpointStartedAt) {
      remove(endpoint);
      pool = new Pool(endpoint, address, startedAt);
      byEndpoint.put(endpoint, pool);
    }
    pool.isOrigin = isOrigin;
  }

  /** Removes an endpoint; connections in use are closed once their request has ended. */
  void remove(String endpoint) {
    closeIdle(endpoint);
    failConnecting(endpoint);
    byEndpoint.remove(endpoint);
  }

  /**
   * Fails the requests that wait for a connection to an endpoint, which drains, was removed or has restarted:
   * the connection may be established long after the grace period, and the request would be sent to it then.
   */
  void failConnecting(String endpoint) {
    Pool pool = byEndpoint.get(endpoint);
    for (PooledConnection pooled : pool == null ? List.<PooledConnection>of()
        : List.copyOf(pool.connecting)) {
      UpstreamRequest inFlight = pooled.inFlight;
      pooled.inFlight = null; // the connection may still be established and kept
      if (inFlight != null) {
        listener.unreachable(inFlight);
      }
    }
  }

  /** Removes all endpoints but these. */
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

  /** The pool of an endpoint, or null if it is not known. */
  Pool pool(String endpoint) {
    return byEndpoint.get(endpoint);
  }

  /**
   * Takes an idle connection for the next request, after closing those that have been idle for too long and
   * that the periodic check may not have seen yet: the most recently used of those that have been idle for
   * {@link #MIN_REST_MS}, else the most recently used whose last reply named its request. Returns null if
   * there is none; a connection that has to rest is never taken, and closed if its descriptor is needed.
   *
   * <p>A late second reply would be taken for the reply to the next request, as replies of the origin and
   * some of cache nodes don't name the request. It shows up while the connection rests. One that has arrived
   * and is not read yet, as this thread was busy, is found by a look at the socket.
   */
  PooledConnection takeIdle(Pool pool) {
    closeExpiredIdle(pool);
    double restedSince = clock.getAsDouble() - MIN_REST_MS;
    PooledConnection rested = takeFirst(pool, pooled -> pooled.idleSince <= restedSince);
    return rested != null ? rested : takeFirst(pool, pooled -> !pooled.mustRest);
  }

  /** Takes the first idle connection that meets a condition; closes those on which something has come. */
  private PooledConnection takeFirst(Pool pool, Predicate<PooledConnection> condition) {
    for (PooledConnection pooled : List.copyOf(pool.idle)) {
      if (!condition.test(pooled)) {
        continue;
      }
      int unsolicited = pooled.readUnsolicited();
      if (unsolicited == 0) {
        pool.idle.remove(pooled);
        return pooled;
      }
      if (unsolicited > 0) {
        counters.add(Counter.UPSTREAM_BAD_REPLIES);
      }
      close(pooled);
    }
    return null;
  }

  /**
   * Returns whether one more connection to an endpoint may be opened; if necessary, closes the one that has
   * been idle for longest to make room.
   */
  boolean ensureRoom(Pool pool) {
    return openConnections < (pool.isOrigin ? maxConnections : maxCacheConnections) || closeLongestIdle();
  }

  int openConnections() {
    return openConnections;
  }

  /** Opens a connection for its request. */
  void connect(PooledConnection pooled) {
    openConnections++;
    counters.add(Counter.UPSTREAM_CONNECTIONS);
    pooled.inFlight.pooled = pooled;
    pooled.pool.connecting.add(pooled);
    pooled.connectStartedAt = clock.getAsDouble();
    var connecting = (pooled.pool.isOrigin ? originConnector : cacheConnector).connect(pooled.pool.address);
    pooled.connectTimer = loop.schedule(() -> {
      if (pooled.connection == null) {
        connecting.cancel(true); // closes the socket
        listener.closed(pooled, false);
      }
    }, (long) (Math.max(0, connectTimeoutMs) * 1000), TimeUnit.MICROSECONDS);
    connecting.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        pooledOf.set(connection, pooled);
        loop.execute(() -> connected(pooled, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> listener.closed(pooled, false));
      }
    });
  }

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  private void connected(PooledConnection pooled, Connection<?> connection) {
    pooled.connection = (Connection<SocketAddress>) connection;
    pooled.pool.connecting.remove(pooled);
    pooled.connectTimer.cancel(false);
    if (pooled.closed) {
      connection.terminateSilently();
    } else if (pooled.inFlight == null) {
      release(pooled, false);
      pooled.idleSince = pooled.connectStartedAt; // the peer has counted its idle time since then
    } else {
      listener.connected(pooled);
    }
  }

  /**
   * Makes a connection idle after its request, or closes it if its endpoint was removed, has moved or has
   * restarted.
   *
   * @param unusable closes it in any case, for example as bytes were read beyond the end of the reply
   */
  void release(PooledConnection pooled, boolean unusable) {
    if (unusable || byEndpoint.get(pooled.pool.endpoint) != pooled.pool) {
      close(pooled);
    } else {
      markIdle(pooled);
    }
  }

  private void markIdle(PooledConnection pooled) {
    pooled.inFlight = null;
    pooled.requestWritten = false;
    pooled.idleSince = clock.getAsDouble();
    pooled.pool.idle.push(pooled);
  }

  /** Closes a connection, and removes it from its pool. */
  void close(PooledConnection pooled) {
    if (!pooled.closed) {
      pooled.close();
      openConnections--;
      counters.check(openConnections >= 0, "the number of upstream connections is not negative");
      pooled.inFlight = null;
      pooled.pool.idle.remove(pooled);
      pooled.pool.connecting.remove(pooled);
    }
  }

  /** Closes connections that have been idle for too long. */
  void closeExpiredIdle() {
    byEndpoint.values().forEach(this::closeExpiredIdle);
  }

  private void closeExpiredIdle(Pool pool) {
    double before = clock.getAsDouble() - maxIdleMs;
    while (!pool.idle.isEmpty() && pool.idle.peekLast().idleSince < before) {
      close(pool.idle.peekLast());
    }
  }

  /** Closes the connection that has been idle for longest, to free its descriptor; false if none is idle. */
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

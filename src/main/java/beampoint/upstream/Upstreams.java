package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.buffer.Stream;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;
import beampoint.http.HttpContent;
import beampoint.http.HttpFault;
import beampoint.http.HttpFilter;
import beampoint.http.HttpHead;
import beampoint.http.HttpWriter;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.memcache.Reply;
import beampoint.memcache.ReplyFilter;
import beampoint.memcache.ReplyPart;
import beampoint.memcache.Writer;
import beampoint.transport.PeerFilter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The upstream side: makes the attempts and probes it is told to make, on connections of its own, and tells
 * how each ended. It sends nothing twice and picks nothing. Belongs to the decision thread.
 */
public final class Upstreams {

  private static final Log LOG = Log.of("upstream");
  private static final int MAX_BODY = ReplyFilter.MAX_VALUE;
  private static final double STANDSTILL_MS = 10_000; // after which a value that has begun is given up
  private static final Map<Result, Counter> COUNTERS = new EnumMap<>(Result.class);

  static {
    for (Result result : Result.values()) {
      COUNTERS.put(result, Counter.valueOf("ATTEMPTS_" + result));
    }
  }

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Reports reports;
  private final Counters counters;
  private final Budget budget;
  private double connectTimeout;
  private double idleTime;
  private int maxConnections = 2;
  private int maxToCaches = 1;
  private final Writer writer;
  private final HttpWriter httpWriter;
  private final TCPNIOConnectorHandler toCaches;
  private final TCPNIOConnectorHandler toOrigin;
  private final Map<String, Pool> pools = new TreeMap<>();
  private final Map<Long, Map<Integer, Flight>> flights = new HashMap<>(); // by request, then by attempt
  private final Attribute<Link> linkOf = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("link");
  private final Future<?> closing; // of connections that have stood idle
  private final Set<Link> streaming = new LinkedHashSet<>();
  private int connections;

  public Upstreams(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      Reports reports, Counters counters, Budget budget, double connectTimeout, double idleTime) {
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    this.reports = reports;
    this.counters = counters;
    this.budget = budget;
    retime(connectTimeout, idleTime);
    this.writer = new Writer(transport.getMemoryManager());
    this.httpWriter = new HttpWriter(transport.getMemoryManager());
    this.toCaches = connector(new ReplyFilter(transport.getMemoryManager()));
    this.toOrigin = connector(new HttpFilter(HttpFilter.Side.ANSWERS));
    this.closing = loop.scheduleWithFixedDelay(this::closeOld, 1, 1, TimeUnit.SECONDS);
  }

  private TCPNIOConnectorHandler connector(Filter codec) {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new PeerFilter()).add(codec)
        .add(new Events());
    return TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /** Hands on what was read, as tasks that run once all that is ready has been read. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Link link = linkOf.get(ctx.getConnection());
      Object message = ctx.getMessage();
      loop.execute(() -> read(link, message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Link link = linkOf.get(ctx.getConnection());
      if (link != null) {
        loop.execute(() -> lost(link));
      }
      return ctx.getInvokeAction();
    }
  }

  /** Sets how long a connection may take to be made, and after how long peers close an idle one. */
  public void retime(double connect, double idle) {
    connectTimeout = connect;
    // Guards against a request that crosses the cache node's own closing of an idle connection.
    idleTime = idle - Math.max(idle / 10, 2 * connect);
  }

  /** Sets how many connections there may be; idle ones beyond that are closed. */
  public void resize(int most) {
    maxConnections = most;
    // Guards against caches whose silence holds all connections: misses and writes need the origin.
    maxToCaches = most - Math.max(1, most / 8);
    while (connections > maxConnections && closeLongestIdle()) {
      // one less
    }
  }

  // ---- What it is told to do ------------------------------------------------------------------------------

  /** Takes an endpoint's address; a new address or a new start makes its old connections worthless. */
  public void place(String endpoint, InetSocketAddress dial, boolean origin, double startedAt) {
    Pool pool = pools.get(endpoint);
    if (pool == null || !dial.equals(pool.dial) || startedAt != pool.startedAt) {
      remove(endpoint);
      pool = new Pool(endpoint, dial, startedAt);
      pools.put(endpoint, pool);
    }
    pool.origin = origin;
  }

  /** Forgets an endpoint that is gone; the connections still in use are closed once they are free. */
  public void remove(String endpoint) {
    closeIdle(endpoint);
    pools.remove(endpoint);
  }

  /** Forgets all endpoints but these. */
  public void retain(Set<String> endpoints) {
    List.copyOf(pools.keySet()).stream().filter(e -> !endpoints.contains(e)).forEach(this::remove);
  }

  public void closeIdle(String endpoint) {
    Pool pool = pools.get(endpoint);
    while (pool != null && !pool.idle.isEmpty()) {
      close(pool.idle.pop());
    }
  }

  /** Forgets all endpoints: nothing will be sent any more. */
  public void close() {
    closing.cancel(false);
    retain(Set.of());
  }

  /** Starts an attempt that is given up at the given time. */
  public void send(Exchange exchange, int number, String endpoint, double endsAt) {
    Flight flight = new Flight(exchange, number, endpoint, clock.getAsDouble(), endsAt);
    flights.computeIfAbsent(exchange.id(), id -> new HashMap<>()).put(number, flight);
    counters.add(Counter.ATTEMPTS_SENT);
    start(flight);
  }

  /** Asks an endpoint for a sign of life; to connect and to answer it may take a connect time-out each. */
  public void probe(String endpoint) {
    double now = clock.getAsDouble();
    counters.add(Counter.PROBES_SENT);
    start(new Flight(null, 0, endpoint, now, now + 2 * connectTimeout));
  }

  /** Gives up one attempt. */
  public void cancel(long id, int number) {
    Flight flight = flights.getOrDefault(id, Map.of()).get(number);
    if (flight != null) {
      giveUp(flight, Result.CANCELLED);
    }
  }

  /** Ends the time of all attempts of a request. */
  public void expire(long id) {
    for (Flight flight : List.copyOf(flights.getOrDefault(id, Map.of()).values())) {
      giveUp(flight, Result.TIMEOUT);
    }
  }

  // ---- Flights --------------------------------------------------------------------------------------------

  private void start(Flight flight) {
    Pool pool = pools.get(flight.endpoint);
    flight.timer = at(flight.endsAt, () -> giveUp(flight, Result.TIMEOUT));
    if (pool == null) {
      land(flight, Result.CONNECT_FAILED, null);
      return;
    }
    Link link = pool.idle.poll();
    if (link != null) {
      counters.check(link.flight == null && !link.closed, "an idle connection is open and has nothing out");
      link.flight = flight;
      flight.link = link;
      write(link);
    } else if (connections < (pool.origin ? maxConnections : maxToCaches) || closeLongestIdle()) {
      connect(new Link(pool, flight));
    } else {
      // Guards against a cache that is blamed, and skipped, for this proxy's own shortage.
      LOG.warn("all upstream connections are in use: " + connections);
      land(flight, Result.NOT_SENT, null);
    }
  }

  private void connect(Link link) {
    connections++;
    counters.add(Counter.UPSTREAM_CONNECTIONS);
    link.flight.link = link;
    var made = (link.pool.origin ? toOrigin : toCaches).connect(link.pool.dial);
    link.connectTimer = at(clock.getAsDouble() + connectTimeout, () -> {
      if (link.connection == null) {
        made.cancel(true); // closes the socket
        lost(link);
      }
    });
    made.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        linkOf.set(connection, link);
        loop.execute(() -> connected(link, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> lost(link));
      }
    });
  }

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  private void connected(Link link, Connection<?> connection) {
    link.connection = (Connection<SocketAddress>) connection;
    link.connectTimer.cancel(false);
    if (link.closed) {
      connection.terminateSilently();
    } else if (link.flight == null) {
      release(link, false);
    } else {
      write(link);
    }
  }

  private void write(Link link) {
    Flight flight = link.flight;
    Pool pool = link.pool;
    link.written = false;
    link.head = null;
    link.body = null;
    Buffer request;
    if (flight.isProbe()) {
      request = pool.origin ? httpWriter.get("/alive", pool.host) : writer.line("mn");
    } else {
      Command command = flight.exchange.command();
      long wait = Math.max(1, (long) (flight.endsAt - clock.getAsDouble()));
      request = pool.origin
          ? httpWriter.request(pool.host, command.key(), command.id(), command.list(), command.value())
          : writer.command(command, wait);
    }
    link.connection.write(request, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        link.written = true;
      }
    });
  }

  private void read(Link link, Object message) {
    Flight flight = link.flight;
    if (link.closed) {
      return;
    }
    link.movedAt = clock.getAsDouble();
    if (link.stream != null) {
      goOn(link, message);
    } else if (flight == null || !link.written) {
      bad(link, "an answer that nothing was asked for");
    } else if (message instanceof Reply reply) {
      answered(link, flight, reply);
    } else if (message instanceof HttpFault fault) {
      bad(link, fault.problem());
    } else if (message instanceof HttpHead head) {
      link.head = head;
      if (head.whole()) {
        content(link, flight, new HttpContent(Buffers.EMPTY_BUFFER, true, head.surplus()));
      }
    } else if (message instanceof HttpContent content) {
      content(link, flight, content);
    }
  }

  /** The next bytes of a long value. */
  private void goOn(Link link, Object message) {
    if (message instanceof ReplyPart part && part.last()) {
      streamed(link, part.surplus());
    } else if (message instanceof ReplyPart part) {
      pass(link, part.bytes());
    } else if (message instanceof HttpContent content) {
      pass(link, content.bytes());
      if (content.last()) {
        streamed(link, link.head.closes() || content.surplus());
      }
    } else {
      bad(link, "a long value that does not end as it should");
    }
  }

  private void pass(Link link, Buffer bytes) {
    if (bytes.hasRemaining() && !link.stream.offer(bytes)) {
      setReading(link, false);
    }
  }

  /** A long value has come to its end. */
  private void streamed(Link link, boolean spent) {
    Stream stream = link.stream;
    link.stream = null;
    streaming.remove(link);
    setReading(link, true);
    stream.finish();
    release(link, spent);
  }

  /** The value is the client's from its first bytes on: the attempt has ended well, and is not repeated. */
  private void stream(Link link, Flight flight, long length) {
    counters.add(Counter.VALUES_STREAMED);
    link.flight = null;
    streaming.add(link);
    link.stream = new Stream(length, budget, new Stream.Source() {
      @Override
      public void resume() {
        setReading(link, true);
      }

      @Override
      public void cancel() {
        link.stream = null;
        close(link);
      }
    });
    land(flight, Result.OK, Answer.streamed(link.stream));
  }

  private void setReading(Link link, boolean on) {
    link.movedAt = clock.getAsDouble();
    link.paused = !on;
    if (link.closed) {
      return;
    }
    try {
      if (on) {
        link.connection.enableIOEvent(IOEvent.READ);
      } else {
        link.connection.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException e) {
      lost(link);
    }
  }

  private void answered(Link link, Flight flight, Reply reply) {
    Command command = flight.isProbe() ? null : flight.exchange.command();
    boolean own = command != null && reply.id() != null && reply.id().equals(command.id());
    boolean write = command != null && command.kind() == Command.Kind.WRITE;
    Result result = switch (reply.kind()) {
      case VALUE -> own && !write ? Result.OK : null;
      case RECEIPT -> own && reply.body() != null && write ? Result.OK : null;
      case MISS -> own ? Result.MISS : null;
      case ALIVE -> flight.isProbe() ? Result.OK : null;
      case BUSY -> Result.FULL;
      case FAILED -> Result.ERROR;
      case BAD -> null;
    };
    if (result == null) {
      bad(link, "an answer that does not fit: " + reply.kind());
      return;
    }
    flight.load = reply.load();
    if (reply.isStreamed()) {
      stream(link, flight, reply.length());
      return;
    }
    release(link, reply.surplus());
    boolean served = result == Result.OK && !flight.isProbe();
    Answer.Kind kind = reply.kind() == Reply.Kind.VALUE ? Answer.Kind.VALUE : Answer.Kind.RECEIPT;
    land(flight, result, served ? Answer.whole(kind, reply.body()) : null);
  }

  private void content(Link link, Flight flight, HttpContent content) {
    boolean read = !flight.isProbe() && flight.exchange.command().kind() == Command.Kind.READ;
    boolean isLong = read && link.head.status() == 200 && link.head.length() > ReplyFilter.WHOLE_VALUE;
    if (isLong && link.body == null) {
      if (link.head.length() > MAX_BODY) {
        bad(link, "a body that is longer than any value");
        return;
      }
      stream(link, flight, link.head.length());
      goOn(link, content);
      return;
    }
    if (link.body == null) {
      link.claim = budget.claim(() -> setReading(link, true));
      link.body = new Collector(transport.getMemoryManager(), MAX_BODY, link.claim);
    }
    if (!link.body.add(content.bytes())) {
      setReading(link, false);
    }
    if (content.bytes().hasRemaining()) {
      bad(link, "a body that is longer than any value");
      return;
    }
    if (!content.last()) {
      return;
    }
    HttpHead head = link.head;
    Buffer body = link.body.message();
    link.claim.release();
    release(link, head.closes() || content.surplus());
    if (head.status() == 200) {
      boolean write = !flight.isProbe() && flight.exchange.command().kind() == Command.Kind.WRITE;
      Answer.Kind kind = write ? Answer.Kind.RECEIPT : Answer.Kind.VALUE;
      land(flight, Result.OK, flight.isProbe() ? null : Answer.whole(kind, body));
    } else {
      boolean neverRan = head.declined() && (head.status() == 503 || head.status() == 504);
      land(flight, neverRan ? Result.FULL : Result.ERROR, null);
    }
  }

  /**
   * After what can't be understood nothing more is read. The peer lives, and the request may have run: that
   * is an error, and no reason to take the peer for broken as after a reset.
   */
  private void bad(Link link, String what) {
    counters.add(Counter.UPSTREAM_BAD_REPLIES);
    LOG.warn(what + ", from " + link.pool.endpoint);
    end(link, Result.ERROR);
  }

  /** The connection has ended or was never made. */
  private void lost(Link link) {
    end(link, Result.RESET);
  }

  private void end(Link link, Result afterWriting) {
    Flight flight = link.flight;
    Stream stream = link.stream;
    link.stream = null;
    boolean written = link.written;
    close(link);
    if (stream != null) {
      counters.add(Counter.VALUES_CUT_OFF);
      stream.fail();
    }
    if (flight != null) {
      // Before the request's last byte was written it can't have run: a cache node begins it only then.
      land(flight, written ? afterWriting : Result.CONNECT_FAILED, null);
    }
  }

  /** Stops waiting. What was never written whole never ran, and so the time can't have run out there. */
  private void giveUp(Flight flight, Result result) {
    if (flight.over) {
      return;
    }
    Link link = flight.link;
    boolean written = link != null && link.written;
    if (link != null && link.connection == null) {
      link.flight = null; // the connection may still be made, and serve the next
    } else if (link != null) {
      close(link);
    }
    land(flight, written ? result : flight.isProbe() ? Result.TIMEOUT : Result.NOT_SENT, null);
  }

  private void land(Flight flight, Result result, Answer answer) {
    if (flight.over) {
      return;
    }
    flight.over = true;
    flight.timer.cancel(false);
    double elapsed = clock.getAsDouble() - flight.startedAt;
    // Told by a task of its own: what starts an attempt must not hear its end before it has returned.
    if (flight.isProbe()) {
      loop.execute(() -> reports.probed(flight.endpoint, elapsed, result));
      return;
    }
    Map<Integer, Flight> own = flights.get(flight.exchange.id());
    own.remove(flight.number);
    if (own.isEmpty()) {
      flights.remove(flight.exchange.id());
    }
    counters.add(COUNTERS.get(result));
    loop.execute(() ->
        reports.ended(flight.exchange, flight.number, flight.endpoint, elapsed, result, answer, flight.load));
  }

  // ---- Connections ----------------------------------------------------------------------------------------

  /**
   * Guards against a connection used again though more stands on it than its answer, or though its endpoint
   * is gone, has moved or has started anew.
   */
  private void release(Link link, boolean spent) {
    if (spent || pools.get(link.pool.endpoint) != link.pool) {
      close(link);
    } else {
      rest(link);
    }
  }

  private void rest(Link link) {
    link.flight = null;
    link.written = false;
    link.idleSince = clock.getAsDouble();
    link.pool.idle.push(link);
  }

  private void close(Link link) {
    if (!link.closed) {
      streaming.remove(link);
      link.close();
      connections--;
      counters.check(connections >= 0, "no more connections end than were begun");
      link.flight = null;
      link.pool.idle.remove(link);
    }
  }

  private void closeOld() {
    double before = clock.getAsDouble() - idleTime;
    List.copyOf(streaming).stream().filter(l -> !l.paused && l.movedAt < clock.getAsDouble() - STANDSTILL_MS)
        .forEach(l -> bad(l, "a long value that stands still"));
    for (Pool pool : pools.values()) {
      while (!pool.idle.isEmpty() && pool.idle.peekLast().idleSince < before) {
        close(pool.idle.peekLast());
      }
    }
  }

  /** Guards against running out of descriptors while idle connections hold them. */
  private boolean closeLongestIdle() {
    Link oldest = null;
    for (Pool pool : pools.values()) {
      Link last = pool.idle.peekLast();
      if (last != null && (oldest == null || last.idleSince < oldest.idleSince)) {
        oldest = last;
      }
    }
    if (oldest != null) {
      close(oldest);
    }
    return oldest != null;
  }

  private Future<?> at(double time, Runnable task) {
    long delay = (long) Math.max(0, (time - clock.getAsDouble()) * 1000);
    return loop.schedule(task, delay, TimeUnit.MICROSECONDS);
  }
}

package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.buffer.Budget;
import beampoint.buffer.Stream;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;
import beampoint.http.HttpWriter;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.memcache.Writer;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The upstream side: makes the attempts and probes it is told to make, on connections of its own, and tells
 * how each ended. It sends nothing twice and picks nothing. Belongs to the decision thread.
 */
public final class Upstreams {

  private static final Log LOG = Log.of("upstream");
  private static final Map<Result, Counter> COUNTERS = new EnumMap<>(Result.class);

  static {
    for (Result result : Result.values()) {
      COUNTERS.put(result, Counter.valueOf("ATTEMPTS_" + result));
    }
  }

  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final AttemptListener listener;
  private final Counters counters;
  private final Writer writer;
  private final HttpWriter httpWriter;
  private final ConnectionPools pools;
  private final Replies replies;
  private final Map<Long, Map<Integer, InFlight>> flights = new HashMap<>(); // by request, then by attempt
  private final Future<?> tidying; // of connections that have stood idle, or stand still

  public Upstreams(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      AttemptListener listener, Counters counters, Budget budget, double connectTimeout, double idleTime) {
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
    this.counters = counters;
    this.writer = new Writer(transport.getMemoryManager());
    this.httpWriter = new HttpWriter(transport.getMemoryManager());
    Heard heard = new Heard();
    this.pools = new ConnectionPools(transport, loop, clock, counters, heard);
    this.replies = new Replies(pools, transport.getMemoryManager(), clock, counters, budget, heard);
    pools.setTimeouts(connectTimeout, idleTime);
    this.tidying = loop.scheduleWithFixedDelay(() -> {
      replies.endStalled();
      pools.closeOld();
    }, 1, 1, TimeUnit.SECONDS);
  }

  /** What connections and replies tell. */
  private final class Heard implements ConnectionPools.User, Replies.Outcomes {

    @Override
    public void made(PooledConnection link) {
      write(link);
    }

    @Override
    public void read(PooledConnection link, Object message) {
      replies.read(link, message);
    }

    @Override
    public void lost(PooledConnection link, boolean orderly) {
      if (!orderly || !replies.ended(link)) {
        Upstreams.this.end(link, Result.RESET);
      }
    }

    @Override
    public void unreachable(InFlight flight) {
      Upstreams.this.complete(flight, Result.CONNECT_FAILED, null);
    }

    @Override
    public void complete(InFlight flight, Result result, Answer answer) {
      Upstreams.this.complete(flight, result, answer);
    }

    @Override
    public void end(PooledConnection link, Result afterWriting) {
      Upstreams.this.end(link, afterWriting);
    }
  }

  /** Sets how long a connection may take to be made, and after how long peers close an idle one. */
  public void setTimeouts(double connect, double idle) {
    pools.setTimeouts(connect, idle);
  }

  /** Sets how many connections there may be; idle ones beyond that are closed. */
  public void setMaxConnections(int most) {
    pools.setMaxConnections(most);
  }

  /** Takes an endpoint's address; a new address or a new start makes its old connections worthless. */
  public void putEndpoint(String endpoint, InetSocketAddress dial, boolean origin, double startedAt) {
    pools.putEndpoint(endpoint, dial, origin, startedAt);
  }

  /** Forgets an endpoint that is gone; the connections still in use are closed once they are free. */
  public void remove(String endpoint) {
    pools.remove(endpoint);
  }

  /** An endpoint drains: what waits for a connection to it does not go there any more. */
  public void drain(String endpoint) {
    pools.bar(endpoint);
  }

  /** Forgets all endpoints but these. */
  public void retain(Set<String> endpoints) {
    pools.retain(endpoints);
  }

  public void closeIdle(String endpoint) {
    pools.closeIdle(endpoint);
  }

  /** Forgets all endpoints: nothing will be sent any more. */
  public void close() {
    tidying.cancel(false);
    retain(Set.of());
  }

  /** Starts an attempt that is given up at the given time, and must not begin after another. */
  public void send(Exchange exchange, int number, String endpoint, double endsAt, double startBy) {
    InFlight flight = new InFlight(exchange, number, endpoint, clock.getAsDouble(), endsAt, startBy);
    flights.computeIfAbsent(exchange.id(), id -> new HashMap<>()).put(number, flight);
    counters.add(Counter.ATTEMPTS_SENT);
    start(flight);
  }

  /** Asks an endpoint for a sign of life; to connect and to answer it may take a connect time-out each. */
  public void probe(String endpoint) {
    double now = clock.getAsDouble();
    counters.add(Counter.PROBES_SENT);
    start(new InFlight(null, 0, endpoint, now, now + 2 * pools.connectTimeout(),
        Double.POSITIVE_INFINITY));
  }

  /** Gives up one attempt. */
  public void cancel(long id, int number) {
    InFlight flight = flights.getOrDefault(id, Map.of()).get(number);
    if (flight != null) {
      giveUp(flight, Result.CANCELLED);
    }
  }

  /** The client of a request has gone: what of its attempts is not written whole must not run. */
  public void abandon(long id) {
    for (InFlight flight : List.copyOf(flights.getOrDefault(id, Map.of()).values())) {
      if (!flight.link.written) {
        giveUp(flight, Result.CANCELLED);
      }
    }
  }

  /** Ends the time of all attempts of a request. */
  public void expire(long id) {
    for (InFlight flight : List.copyOf(flights.getOrDefault(id, Map.of()).values())) {
      giveUp(flight, Result.TIMEOUT);
    }
  }

  private void start(InFlight flight) {
    Pool pool = pools.pool(flight.endpoint);
    flight.timer = at(flight.endsAt, () -> giveUp(flight, Result.TIMEOUT));
    if (pool == null) {
      complete(flight, Result.CONNECT_FAILED, null);
      return;
    }
    PooledConnection link = pools.idle(pool);
    if (link != null) {
      counters.check(link.flight == null && !link.closed, "an idle connection is open and has nothing out");
      link.flight = flight;
      flight.link = link;
      write(link);
    } else if (pools.hasRoom(pool)) {
      pools.connect(new PooledConnection(pool, flight));
    } else {
      // Guards against a cache that is blamed, and skipped, for this proxy's own shortage.
      LOG.warn("all upstream connections are in use: " + pools.connections());
      complete(flight, Result.NOT_SENT, null);
    }
  }

  /**
   * The one place where a request leaves. Guards against one that waited for its connection, while its client
   * went away, its own time or that in which its repeat is dropped ended. The server is told the time that is
   * left now: never more than the client waits, nor than this proxy does.
   */
  private void write(PooledConnection link) {
    InFlight flight = link.flight;
    Pool pool = link.pool;
    double now = clock.getAsDouble();
    long timeLeft = (long) Math.floor(flight.endsAt - now);
    if (!flight.isProbe() && (!flight.exchange.isClientWaiting() || now >= flight.startBy || timeLeft < 1)) {
      pools.release(link, false);
      complete(flight, Result.NOT_SENT, null);
      return;
    }
    link.written = false;
    link.head = null;
    link.body = null;
    Buffer request;
    if (flight.isProbe()) {
      request = pool.origin ? httpWriter.get("/alive", pool.host) : writer.line("mn");
    } else {
      Command command = flight.exchange.command();
      request = pool.origin
          ? httpWriter.request(pool.host, command.key(), command.id(), command.parameters(), timeLeft,
              command.value())
          : writer.command(command, timeLeft);
    }
    link.connection.write(request, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        link.written = true;
      }
    });
  }

  private void end(PooledConnection link, Result afterWriting) {
    InFlight flight = link.flight;
    Stream stream = link.stream;
    link.stream = null;
    boolean written = link.written;
    pools.close(link);
    if (stream != null) {
      counters.add(Counter.VALUES_CUT_OFF);
      stream.fail();
    }
    if (flight != null) {
      // Before the request's last byte was written it can't have run: a cache node begins it only then.
      complete(flight, written ? afterWriting : Result.CONNECT_FAILED, null);
    }
  }

  /** Stops waiting. What was never written whole never ran, and so the time can't have run out there. */
  private void giveUp(InFlight flight, Result result) {
    if (flight.over) {
      return;
    }
    PooledConnection link = flight.link;
    boolean written = link != null && link.written;
    if (link != null && link.connection == null) {
      link.flight = null; // the connection may still be made, and serve the next
    } else if (link != null) {
      pools.close(link);
    }
    complete(flight, written ? result : flight.isProbe() ? Result.TIMEOUT : Result.NOT_SENT, null);
  }

  private void complete(InFlight flight, Result result, Answer answer) {
    if (flight.over) {
      return;
    }
    flight.over = true;
    flight.timer.cancel(false);
    double elapsed = clock.getAsDouble() - flight.startedAt;
    // Told by a task of its own: what starts an attempt must not hear its end before it has returned.
    if (flight.isProbe()) {
      loop.execute(() -> listener.probeEnded(flight.endpoint, elapsed, result));
      return;
    }
    Map<Integer, InFlight> own = flights.get(flight.exchange.id());
    own.remove(flight.number);
    if (own.isEmpty()) {
      flights.remove(flight.exchange.id());
    }
    counters.add(COUNTERS.get(result));
    loop.execute(() -> listener.attemptEnded(flight.exchange, flight.number, flight.endpoint, elapsed, result,
        answer, flight.load));
  }

  private Future<?> at(double time, Runnable task) {
    long delay = (long) Math.max(0, (time - clock.getAsDouble()) * 1000);
    return loop.schedule(task, delay, TimeUnit.MICROSECONDS);
  }
}

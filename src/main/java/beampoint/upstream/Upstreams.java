package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.buffer.Budget;
import beampoint.buffer.Stream;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.exchange.AttemptReport;
import beampoint.exchange.Exchange;
import beampoint.http.HttpWriter;
import beampoint.log.Log;
import beampoint.log.RateLimitedLog;
import beampoint.memcache.Command;
import beampoint.memcache.Writer;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
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
 * The upstream side: sends attempts and probes to endpoints, over its own connection pools, and reports the
 * outcome of each. It neither retries nor chooses endpoints. Confined to the decision thread.
 */
public final class Upstreams {

  private static final Log LOG = Log.of("upstream");
  private static final Map<Result, Counter> COUNTERS = new EnumMap<>(Result.class);

  static {
    for (Result result : Result.values()) {
      COUNTERS.put(result, Counter.valueOf("ATTEMPTS_" + result));
    }
  }

  private static final int MAX_VALUE_LINES_PER_SECOND = 10;

  private final RateLimitedLog valueLog = new RateLimitedLog(LOG, MAX_VALUE_LINES_PER_SECOND);
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final AttemptListener listener;
  private final Counters counters;
  private final Writer writer;
  private final HttpWriter httpWriter;
  private final ConnectionPools pools;
  private final Replies replies;
  /** By the request's id, then by the attempt's number. */
  private final Map<Long, Map<Integer, UpstreamRequest>> inFlightAttempts = new HashMap<>();
  private final Future<?> connectionCheck; // closes connections that are idle for too long or stalled

  /**
   * Creates the upstream side, without endpoints.
   *
   * @param clock the proxy's clock, in ms
   * @param budget the memory for values that are being read
   * @param connectTimeoutMs the connect timeout
   * @param idleTimeoutMs the time after which peers close an idle connection
   */
  public Upstreams(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      AttemptListener listener, Counters counters, Budget budget, double connectTimeoutMs,
      double idleTimeoutMs) {
    this.loop = loop;
    this.clock = clock;
    this.listener = listener;
    this.counters = counters;
    this.writer = new Writer(transport.getMemoryManager());
    this.httpWriter = new HttpWriter(transport.getMemoryManager());
    Events events = new Events();
    this.pools = new ConnectionPools(transport, loop, clock, counters, budget, events);
    this.replies = new Replies(pools, transport.getMemoryManager(), clock, counters, budget, loop, events);
    pools.setTimeouts(connectTimeoutMs, idleTimeoutMs);
    this.connectionCheck = loop.scheduleWithFixedDelay(() -> {
      replies.endStalled();
      pools.closeExpiredIdle();
    }, 1, 1, TimeUnit.SECONDS);
  }

  /** Receives the events of connections and the results of replies. */
  private final class Events implements ConnectionPools.Listener, Replies.ResultListener {

    @Override
    public void connected(PooledConnection pooled) {
      write(pooled);
    }

    @Override
    public void received(PooledConnection pooled, UpstreamRequest readFor, Object message) {
      replies.handle(pooled, readFor, message);
    }

    @Override
    public void closed(PooledConnection pooled, boolean orderly) {
      if (!orderly || !replies.completeByClose(pooled)) {
        Upstreams.this.end(pooled, Result.RESET);
      }
    }

    @Override
    public void unreachable(UpstreamRequest inFlight) {
      Upstreams.this.complete(inFlight, Result.CONNECT_FAILED, null);
    }

    @Override
    public void complete(UpstreamRequest inFlight, Result result, Answer answer) {
      Upstreams.this.complete(inFlight, result, answer);
    }

    @Override
    public void end(PooledConnection pooled, Result resultIfWritten) {
      Upstreams.this.end(pooled, resultIfWritten);
    }
  }

  /**
   * Sets the timeouts.
   *
   * @param connectMs the connect timeout
   * @param idleMs the time after which peers close an idle connection
   */
  public void setTimeouts(double connectMs, double idleMs) {
    pools.setTimeouts(connectMs, idleMs);
  }

  /** Sets the maximum number of connections; idle ones beyond it are closed. */
  public void setMaxConnections(int max) {
    pools.setMaxConnections(max);
  }

  /** Adds or updates an endpoint; after a new address or a restart its old connections are not reused. */
  public void putEndpoint(String endpoint, InetSocketAddress address, boolean isOrigin, double startedAt) {
    pools.putEndpoint(endpoint, address, isOrigin, startedAt);
  }

  /** Removes an endpoint; connections in use are closed once their request has ended. */
  public void remove(String endpoint) {
    pools.remove(endpoint);
  }

  /**
   * Fails the requests that wait for a connection to a draining endpoint, so that they are not sent to it.
   */
  public void drain(String endpoint) {
    pools.failConnecting(endpoint);
  }

  /** Removes all endpoints but these. */
  public void retain(Set<String> endpoints) {
    pools.retain(endpoints);
  }

  /** Closes the idle connections to an endpoint. */
  public void closeIdle(String endpoint) {
    pools.closeIdle(endpoint);
  }

  /** Removes all endpoints; nothing can be sent from here on. */
  public void close() {
    connectionCheck.cancel(false);
    retain(Set.of());
  }

  /**
   * Starts an attempt. Its outcome is reported to the {@link AttemptListener}.
   *
   * @param timeoutAt when the attempt times out unless its reply has begun, in ms on the proxy's clock
   * @param replyDeadline when it times out in any case, in ms on the proxy's clock
   * @param arriveBy the latest time at which the request may reach the endpoint, in ms on the proxy's clock
   */
  public void send(Exchange exchange, int attempt, String endpoint, double timeoutAt, double replyDeadline,
      double arriveBy) {
    UpstreamRequest inFlight = new UpstreamRequest(exchange, attempt, endpoint, clock.getAsDouble(),
        timeoutAt, replyDeadline, arriveBy);
    inFlightAttempts.computeIfAbsent(exchange.id(), id -> new HashMap<>()).put(attempt, inFlight);
    counters.add(Counter.ATTEMPTS_SENT);
    start(inFlight);
  }

  /** Sends a probe to an endpoint; it may take one connect timeout to connect and one to answer. */
  public void probe(String endpoint) {
    double now = clock.getAsDouble();
    double timeoutAt = now + 2 * pools.connectTimeoutMs();
    counters.add(Counter.PROBES_SENT);
    start(new UpstreamRequest(null, 0, endpoint, now, timeoutAt, timeoutAt, Double.POSITIVE_INFINITY));
  }

  /** Cancels one attempt of a request. */
  public void cancel(long id, int attempt) {
    UpstreamRequest inFlight = inFlightAttempts.getOrDefault(id, Map.of()).get(attempt);
    if (inFlight != null) {
      abort(inFlight, Result.CANCELLED);
    }
  }

  /**
   * Cancels the attempts of a request of which a part may not have been sent; called when its client has
   * disconnected.
   */
  public void abandon(long id) {
    for (UpstreamRequest inFlight : List.copyOf(inFlightAttempts.getOrDefault(id, Map.of()).values())) {
      if (inFlight.mayBeUnsent()) {
        abort(inFlight, Result.CANCELLED);
      }
    }
  }

  /** Times out all attempts of a request. */
  public void expire(long id) {
    for (UpstreamRequest inFlight : List.copyOf(inFlightAttempts.getOrDefault(id, Map.of()).values())) {
      abort(inFlight, Result.TIMEOUT);
    }
  }

  private void start(UpstreamRequest inFlight) {
    Pool pool = pools.pool(inFlight.endpoint);
    inFlight.timer = schedule(inFlight.timeoutAt, () -> onTimeout(inFlight));
    if (pool == null) {
      complete(inFlight, Result.CONNECT_FAILED, null);
      return;
    }
    PooledConnection pooled = pools.takeIdle(pool);
    if (pooled != null) {
      counters.check(pooled.inFlight == null && !pooled.closed,
          "an idle connection is open and has no request in flight");
      pooled.inFlight = inFlight;
      inFlight.pooled = pooled;
      write(pooled);
    } else if (pools.ensureRoom(pool)) {
      pools.connect(new PooledConnection(pool, inFlight));
    } else {
      // Reported as NOT_SENT and not as CONNECT_FAILED: this proxy has no free connection, and the cache node
      // must not be ejected for that.
      LOG.warn("all upstream connections are in use: " + pools.openConnections());
      complete(inFlight, Result.NOT_SENT, null);
    }
  }

  /** The timeout of an attempt or a probe is over: ends it, or awaits the end of a reply that has begun. */
  private void onTimeout(UpstreamRequest inFlight) {
    if (inFlight.isBeingAnswered() && inFlight.replyDeadline > clock.getAsDouble()) {
      counters.add(Counter.REPLIES_AWAITED);
      inFlight.timer = schedule(inFlight.replyDeadline, () -> abort(inFlight, Result.TIMEOUT));
    } else {
      abort(inFlight, Result.TIMEOUT);
    }
  }

  /**
   * Writes a request; the only place that does. It is not sent if, while it waited for its connection, its
   * client has disconnected or it has timed out. The server gets the time that is left now, which never
   * exceeds what the client or this proxy still waits, nor what is left of the dedup window in which servers
   * drop a repeated request: a server that handles the request too late drops it by itself.
   */
  private void write(PooledConnection pooled) {
    UpstreamRequest inFlight = pooled.inFlight;
    Pool pool = pooled.pool;
    double now = clock.getAsDouble();
    long timeLeft = (long) Math.floor(inFlight.timeoutAt - now);
    if (!inFlight.isProbe()
        && (!inFlight.exchange.isClientWaiting() || timeLeft < 1)) {
      pools.release(pooled, false);
      complete(inFlight, Result.NOT_SENT, null);
      return;
    }
    pooled.requestWritten = false;
    pooled.httpHead = null;
    pooled.bodyCollector = null;
    pooled.skippedBodyBytes = 0;
    Buffer request;
    if (inFlight.isProbe()) {
      request = pool.isOrigin ? httpWriter.get("/alive", pool.hostHeader) : writer.line("mn");
    } else {
      Command command = inFlight.exchange.command();
      request = pool.isOrigin
          ? httpWriter.request(pool.hostHeader, command.key(), command.id(), command.parameters(), timeLeft,
              command.value())
          : writer.command(command, timeLeft);
    }
    inFlight.writtenBytes = request.remaining();
    pooled.connection.write(request, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        pooled.requestWritten = true;
      }
    });
  }

  private void end(PooledConnection pooled, Result resultIfWritten) {
    UpstreamRequest inFlight = pooled.inFlight;
    Stream stream = pooled.valueStream;
    pooled.valueStream = null;
    boolean written = pooled.requestWritten;
    pools.close(pooled);
    if (stream != null) {
      counters.add(Counter.VALUES_CUT_OFF);
      logCutOff(pooled, stream, resultIfWritten);
      stream.fail();
    }
    if (inFlight != null) {
      // A server executes a request only after its last byte, so one not written completely never ran.
      complete(inFlight, written ? resultIfWritten : Result.CONNECT_FAILED, null);
    }
  }

  private void logCutOff(PooledConnection pooled, Stream stream, Result cause) {
    if (valueLog.mayWrite()) {
      Command command = pooled.streamedFor.exchange.command();
      valueLog.info("the value for " + command.id().toStringContent(StandardCharsets.ISO_8859_1) + " from "
          + pooled.pool.endpoint + " broke off after " + stream.received() + " of " + stream.length()
          + " bytes: " + cause);
    }
  }

  /**
   * Ends an attempt or probe without a reply. An attempt that was not written completely was never executed,
   * and is reported as not sent: the endpoint did not cause a timeout. A part that may not have left this
   * machine is dropped.
   */
  private void abort(UpstreamRequest inFlight, Result result) {
    if (inFlight.finished) {
      return;
    }
    PooledConnection pooled = inFlight.pooled;
    boolean written = pooled != null && pooled.requestWritten;
    if (pooled != null && pooled.connection == null) {
      pooled.inFlight = null; // the connection may still be established, for a later request
    } else if (pooled != null) {
      if (inFlight.mayBeUnsent()) {
        pooled.dropUnsentOnClose();
      }
      pools.close(pooled);
    }
    complete(inFlight, written ? result : inFlight.isProbe() ? Result.TIMEOUT : Result.NOT_SENT, null);
  }

  private void complete(UpstreamRequest inFlight, Result result, Answer answer) {
    if (inFlight.finished) {
      return;
    }
    inFlight.finished = true;
    inFlight.timer.cancel(false);
    double elapsed = clock.getAsDouble() - inFlight.startedAt;
    // Reported by a separate task: the caller that starts an attempt must return before it ends.
    if (inFlight.isProbe()) {
      loop.execute(() -> listener.probeEnded(inFlight.endpoint, elapsed, result));
      return;
    }
    Map<Integer, UpstreamRequest> ofRequest = inFlightAttempts.get(inFlight.exchange.id());
    ofRequest.remove(inFlight.attempt);
    if (ofRequest.isEmpty()) {
      inFlightAttempts.remove(inFlight.exchange.id());
    }
    counters.add(COUNTERS.get(result));
    if (result == Result.TIMEOUT && inFlight.replyHasBegun()) {
      counters.add(Counter.REPLIES_TIMED_OUT);
    }
    AttemptReport report = new AttemptReport(inFlight.exchange, inFlight.attempt, inFlight.endpoint, elapsed,
        result, answer, inFlight.loadReport, inFlight.replyBeganAfterMs());
    loop.execute(() -> listener.attemptEnded(report));
  }

  private Future<?> schedule(double time, Runnable task) {
    long delay = (long) Math.max(0, (time - clock.getAsDouble()) * 1000);
    return loop.schedule(task, delay, TimeUnit.MICROSECONDS);
  }
}

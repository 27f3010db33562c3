package beampoint.client;

import beampoint.buffer.Budget;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.RequestHandler;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.memcache.CommandFilter;
import beampoint.memcache.Writer;
import beampoint.transport.Arrivals;
import beampoint.transport.ReadAheadFilter;
import beampoint.transport.SendQueueMonitor;
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
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** The client side: listens for connections of clients, and limits their number. */
public final class Sessions {

  private static final Log LOG = Log.of("client");
  /** Above this total of all backlogs, requests are answered at once instead of queued. */
  private static final int QUEUE_LIMIT_BYTES = 4 * 1024 * 1024;
  /** Above this total, which includes queued answers, a connection that queues more is closed. */
  private static final int HARD_LIMIT_BYTES = 8 * 1024 * 1024;
  /** Above this number of commands in queued tasks, on all connections, no more are read. */
  private static final int MAX_QUEUED_COMMANDS = 1000;
  private static final long STALE_CHECK_INTERVAL_MS = 250;
  static final double COMMAND_TIMEOUT_MS = 2500; // until the first command, or within a command
  private static final double WRITE_STALL_TIMEOUT_MS = 10_000; // of a client that does not read its answers
  private static final double IDLE_TIMEOUT_MS = 15_000; // between commands
  private static final double CROWDED_IDLE_TIMEOUT_MS = 2000; // from half of the eviction threshold on
  private static final long CLOSE_IDLE_INTERVAL_MS = 10;
  /**
   * A command that arrived longer ago than this is executed only after another read, which shows whether the
   * client has disconnected.
   */
  private static final double LATE_COMMAND_MS = 20;

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Arrivals arrivals;
  private final ClientListener listener;
  private final RequestHandler requestHandler;
  private final Counters counters;
  private final Writer writer;
  private final Map<Connection<?>, Session> sessions = new LinkedHashMap<>(); // least recently used first
  private final Attribute<AtomicInteger> pending =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("pending-commands", AtomicInteger::new);
  private final ReadAheadFilter readAhead;
  private final CommandFilter commandFilter;
  private final ConnectionEvictor evictor;
  private final AnswerLimits answerLimits;
  private final SendQueueMonitor sendQueues;
  private double partialCommandDeadline; // when the grace period of stopListening ends, in ms
  private int queuedCommands; // that were read and whose task has not run
  private int backlogBytes; // of commands that are read and not started
  private boolean refusesQueuedRequests;

  /**
   * Creates the client side, which does not listen yet.
   *
   * @param clock the proxy's clock, in ms
   * @param budget the memory for values that are being read and for answers until they are written
   */
  public Sessions(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      Arrivals arrivals, RequestHandler requestHandler, Counters counters, Budget budget) {
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
    this.arrivals = arrivals;
    this.listener = new ClientListener(transport, loop, arrivals);
    this.requestHandler = requestHandler;
    this.counters = counters;
    this.writer = new Writer(transport.getMemoryManager());
    this.answerLimits = new AnswerLimits(budget);
    this.sendQueues = new SendQueueMonitor(loop);
    this.readAhead = new ReadAheadFilter(arrivals, listener::arrivedAt,
        () -> queuedCommands >= MAX_QUEUED_COMMANDS,
        bytes -> counters.raise(Counter.READ_AHEAD_PEAK_BYTES, bytes), this::readToEnd);
    this.commandFilter = new CommandFilter(transport.getMemoryManager(), budget, clock, readAhead);
    this.evictor = new ConnectionEvictor(sessions, commandFilter, listener, counters, clock);
    loop.scheduleWithFixedDelay(this::closeStale, STALE_CHECK_INTERVAL_MS, STALE_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Sets the limits, and closes inactive connections beyond {@code evictAbove}.
   *
   * @param max the maximum number of connections; further ones are not accepted
   * @param evictAbove the number of connections beyond which inactive ones are closed
   */
  public void setConnectionLimits(int max, int evictAbove) {
    listener.setMaxConnections(max);
    evictor.setThreshold(evictAbove);
    evictor.makeRoom(null);
    listener.resumeAccepting();
  }

  /** Listens on this address only; returns it with the actual port, which the system picks if it is 0. */
  public InetSocketAddress listen(SocketAddress address) throws IOException {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(readAhead)
        .add(commandFilter).add(new Events());
    return listener.listen(address, chain.build());
  }

  /** Passes events on as tasks, which run once the selector has read all ready connections. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      counters.add(Counter.CLIENT_CONNECTIONS);
      listener.accepted(connection);
      loop.execute(() -> opened(connection));
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
      Connection<?> connection = ctx.getConnection();
      Command command = ctx.getMessage();
      double arrivedAt = readAhead.arrivedAt(connection);
      pending.get(connection).incrementAndGet();
      if (command.isValueDiscarded()) {
        counters.add(Counter.VALUES_DISCARDED);
      }
      counters.raise(Counter.COMMANDS_QUEUED_PEAK, ++queuedCommands);
      execute(arrivedAt, () -> {
        queuedCommands--;
        Session session = sessions.remove(connection);
        if (session != null) {
          sessions.put(connection, session);
          session.handleCommand(command, arrivedAt);
        } else {
          command.release();
        }
      });
      return ctx.getStopAction();
    }

    /**
     * Executes a command. If it arrived some time ago, its connection is read once more first: the client may
     * have connected, sent the command and disconnected while this process was stopped or accepted no
     * connections, and the read that returns the data does not return the end.
     */
    private void execute(double arrivedAt, Runnable command) {
      if (clock.getAsDouble() - arrivedAt > LATE_COMMAND_MS) {
        arrivals.afterNextRead(command);
      } else {
        loop.execute(command);
      }
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      listener.connectionClosed();
      Session session = sessions.get(connection);
      if (session != null) {
        session.markClientGone();
      }
      loop.execute(() -> closed(connection));
      return ctx.getInvokeAction();
    }
  }

  private void opened(Connection<?> connection) {
    Session session = new Session(connection, this, clock.getAsDouble());
    sessions.put(connection, session);
    if (sessions.size() > evictor.threshold()) {
      evictor.makeRoom(session);
    }
  }

  /**
   * Closes connections that are open and unused, which would keep others out: clients that send one request
   * and stay connected were seen to use up all connections that the clients' environment allows, long before
   * the limit here was reached.
   */
  private void closeStale() {
    double now = clock.getAsDouble();
    double idleTimeoutMs =
        sessions.size() > evictor.threshold() / 2 ? CROWDED_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    for (Map.Entry<Connection<?>, Session> entry : List.copyOf(sessions.entrySet())) {
      Connection<?> connection = entry.getKey();
      Session session = entry.getValue();
      if (session.isStalled(WRITE_STALL_TIMEOUT_MS)) {
        counters.add(Counter.CLIENT_CONNECTIONS_CLOSED_STALE);
        LOG.info("a client connection is ended: its client reads no answer");
        session.terminate();
      } else {
        session.closeIfStale(now, commandFilter.hasPartialCommand(connection),
            commandFilter.partialValueBytes(connection), COMMAND_TIMEOUT_MS, idleTimeoutMs);
      }
    }
  }

  /** Starts what waited until all input of a connection was read. */
  private void readToEnd(Connection<?> connection) {
    arrivals.afterNextRead(() -> {
      Session session = sessions.get(connection);
      if (session != null) {
        session.startQueued();
      }
    });
  }

  /** True if a connection may hold unread input, and the close of its client behind that. */
  boolean hasUnreadInput(Connection<?> connection) {
    return readAhead.hasUnread(connection);
  }

  private void closed(Connection<?> connection) {
    Session session = sessions.remove(connection);
    if (session != null) {
      session.connectionClosed();
    }
    listener.resumeAccepting();
  }

  /** The number of commands read on a connection whose answer is not written completely. */
  int pending(Connection<?> connection) {
    return pending.get(connection).get();
  }

  /** Counts one more answer as written. */
  void countAnswered(Connection<?> connection) {
    pending.get(connection).decrementAndGet();
  }

  /** Discards everything that is read on a connection from here on. */
  void discardInput(Connection<?> connection) {
    commandFilter.discardInput(connection);
  }

  /** Adds to the memory that all backlogs take, in bytes; a negative number subtracts. */
  void addBacklogBytes(int bytes) {
    backlogBytes += bytes;
  }

  /** True if further requests are not queued but answered at once: on shutdown, or with full backlogs. */
  boolean mustAnswerAtOnce() {
    return refusesQueuedRequests || backlogBytes > QUEUE_LIMIT_BYTES;
  }

  /** Answers all queued requests at once, and from here on every request that would be queued. */
  public void refuseQueuedRequests() {
    refusesQueuedRequests = true;
    sessions.values().forEach(Session::refuseQueuedRequests);
  }

  /** True while the answer to a command that was read is not written completely, or not sent. */
  public boolean hasUnanswered() {
    return sessions.entrySet().stream()
        .anyMatch(entry -> pending(entry.getKey()) > 0 || entry.getValue().closer().emptiesSendQueue());
  }

  /**
   * True if the backlogs, with queued answers, exceed the hard limit: a connection that queues another
   * command or answer is closed.
   */
  boolean areBacklogsOverLimit() {
    return backlogBytes > HARD_LIMIT_BYTES;
  }

  MemoryManager<?> memory() {
    return transport.getMemoryManager();
  }

  /**
   * Accepts no more connections, and closes the others once they are idle. Those that have sent part of a
   * command, or nothing yet, get a grace period to complete one.
   *
   * @param graceMs the grace period, in ms
   */
  public void stopListening(double graceMs) {
    partialCommandDeadline = clock.getAsDouble() + graceMs;
    listener.close(this::closeIdle);
  }

  /**
   * Closes the connections without open commands, repeatedly until none is left. Until the grace period ends,
   * those that have sent part of a command or nothing yet are spared, so that no request is lost.
   */
  private void closeIdle() {
    double now = clock.getAsDouble();
    for (Map.Entry<Connection<?>, Session> entry : List.copyOf(sessions.entrySet())) {
      boolean expectsCommand =
          commandFilter.hasPartialCommand(entry.getKey()) || entry.getValue().hasSentNoCommand();
      if (!expectsCommand || now >= partialCommandDeadline) {
        entry.getValue().closeWhenIdle();
      }
    }
    if (!sessions.isEmpty()) {
      loop.schedule(this::closeIdle, CLOSE_IDLE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  double now() {
    return clock.getAsDouble();
  }

  /** The number of open connections. */
  public int connections() {
    return sessions.size();
  }

  /** True once the listener is closed and all connections have ended. */
  public boolean isDrained() {
    return listener.isClosed() && sessions.isEmpty();
  }

  SendQueueMonitor sendQueues() {
    return sendQueues;
  }

  /** Releases what is not part of the transport; the connections are closed with that. */
  public void stop() {
    sendQueues.close();
  }

  AnswerLimits answerLimits() {
    return answerLimits;
  }

  Writer writer() {
    return writer;
  }

  RequestHandler requestHandler() {
    return requestHandler;
  }

  Counters counters() {
    return counters;
  }

  ScheduledExecutorService loop() {
    return loop;
  }
}

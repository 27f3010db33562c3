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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
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

/** The client side: listens, and keeps the connections of clients within a number. */
public final class Sessions {

  private static final Log LOG = Log.of("client");
  private static final int FULL_BACKLOG_BYTES = 4 * 1024 * 1024; // of what is not begun, on all connections
  private static final int OVERFULL_BACKLOG_BYTES = 8 * 1024 * 1024; // with the answers that wait behind it
  private static final long SWEEP_MS = 250;
  private static final double SILENCE_MS = 2500; // before the first command, or in the middle of one
  private static final double STALL_MS = 10_000; // of a client that does not read its answers
  private static final double IDLE_MS = 15_000; // between commands
  private static final long END_STEP_MS = 10;
  private static final double OLD_MS = 20; // of a command: its client's end may lie unread behind it
  private static final double CROWDED_LINGER_MS = 50; // for an end to be seen, where there is no room
  private static final double CROWDED_IDLE_MS = 2000; // the same, at half of the connections that are many

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Arrivals arrivals;
  private final ClientListener listener;
  private final RequestHandler requestHandler;
  private final Counters counters;
  private int manyConnections = 1; // from which on idle ones make room
  private final Writer writer;
  private final Map<Connection<?>, Session> open = new LinkedHashMap<>(); // the longest unused first
  private final Attribute<AtomicInteger> pending =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("pending-commands", AtomicInteger::new);
  private final ReadAheadFilter readAhead;
  private final CommandFilter codec;
  private double halfCommandsUntil;
  private int backlogBytes; // of what is read and not begun
  private boolean refusesWaiting;

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
    this.readAhead = new ReadAheadFilter(arrivals, listener::arrivedAt);
    this.codec = new CommandFilter(transport.getMemoryManager(), budget, clock, readAhead::resume);
    loop.scheduleWithFixedDelay(this::closeStale, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /** Sets how many connections there may be; beyond many, those unused longest are closed now. */
  public void setConnectionLimits(int most, int many) {
    listener.limit(most);
    manyConnections = many;
    makeRoom(null);
    listener.acceptWhileThereIsRoom();
  }

  /** Listens on this address only; returns it with the port that the system picks where it is 0. */
  public InetSocketAddress listen(SocketAddress address) throws IOException {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(readAhead)
        .add(codec).add(new Events());
    return listener.listen(address, chain.build());
  }

  /** Hands on what was read, as tasks that run once all that is ready has been read. */
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
      double readAt = readAhead.arrivedAt(connection);
      pending.get(connection).incrementAndGet();
      handOn(readAt, () -> {
        Session session = open.remove(connection);
        if (session != null) {
          open.put(connection, session);
          session.command(command, readAt);
        } else {
          command.release();
        }
      });
      return ctx.getStopAction();
    }

    /**
     * Guards against work for a client that came, asked and left while this process was stopped or
     * had no place for it: as one read takes what was sent and the next one the end, its connection
     * is read once more first.
     */
    private void handOn(double readAt, Runnable command) {
      if (clock.getAsDouble() - readAt > OLD_MS) {
        arrivals.afterNextRead(command);
      } else {
        loop.execute(command);
      }
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      listener.ended();
      Session session = open.get(connection);
      if (session != null) {
        session.leaves();
      }
      loop.execute(() -> closed(connection));
      return ctx.getInvokeAction();
    }
  }

  private void opened(Connection<?> connection) {
    Session session = new Session(connection, this, clock.getAsDouble());
    open.put(connection, session);
    if (open.size() > manyConnections) {
      makeRoom(session);
    }
  }

  /**
   * Guards against a full house: who has said nothing, or half a command, for too long makes room first, then
   * who has been idle for longest. Crowds that only connect, or ask once and stay, must not cost the usual
   * clients their connections, of which all clients together may hold fewer than there is room for here. Who
   * has just come may still be writing, and goes only where such take up a third of the room, or all of it:
   * first who has moved nothing for longest, as a crowd that stopped has, and who writes slowly has not.
   */
  private void makeRoom(Session except) {
    double now = clock.getAsDouble();
    int over = open.size() - manyConnections;
    for (Session session : List.copyOf(open.values())) {
      if (over > 0 && session.lingersFor(CROWDED_LINGER_MS)) {
        session.terminate();
        over--;
      }
    }
    Deque<Session> past = new ArrayDeque<>(); // their time for a command
    Deque<Session> idle = new ArrayDeque<>();
    // The last move, and whose.
    Queue<Map.Entry<Double, Session>> fresh = new PriorityQueue<>(Map.Entry.comparingByKey());
    int count = 0;
    for (Map.Entry<Connection<?>, Session> entry : open.entrySet()) {
      Session session = entry.getValue();
      count += session.isClosing() ? 0 : 1;
      if (session != except && session.isOpenAndIdle()) {
        boolean waits = session.isSilent() || codec.hasHalf(entry.getKey());
        if (waits && now - session.restsSince() < SILENCE_MS) {
          fresh.add(Map.entry(Math.max(session.openedAt(), codec.movedAt(entry.getKey())), session));
        } else {
          (waits ? past : idle).add(session);
        }
      }
    }
    int waiting = fresh.size();
    while (count > manyConnections) {
      boolean freshGoes = waiting > manyConnections / 3 || idle.isEmpty() && count >= listener.limit();
      Session old = !past.isEmpty() ? past.poll()
          : freshGoes && waiting > 0 ? fresh.poll().getValue() : idle.poll();
      if (old == null) {
        return;
      }
      waiting = fresh.size();
      count--;
      counters.add(Counter.CLIENT_CONNECTIONS_CLOSED_FULL);
      old.makeRoom();
    }
  }

  /**
   * Guards against connections that are held and not used, and so keep others out: clients that ask once and
   * stay were seen to take all that the clients' side may hold, long before the room here was full.
   */
  private void closeStale() {
    double now = clock.getAsDouble();
    double idle = open.size() > manyConnections / 2 ? CROWDED_IDLE_MS : IDLE_MS;
    for (Map.Entry<Connection<?>, Session> entry : List.copyOf(open.entrySet())) {
      Connection<?> connection = entry.getKey();
      Session session = entry.getValue();
      // A value that is held up is none of the client's slowness.
      int bytes = codec.isHeldUp(connection) ? -1 : codec.valueBytes(connection);
      if (session.isStalled(now, STALL_MS)) {
        counters.add(Counter.CLIENT_CONNECTIONS_CLOSED_STALE);
        session.terminate();
      } else if (bytes >= 0) {
        session.closeWhenStale(now, codec.hasHalf(connection), bytes, SILENCE_MS, idle);
      }
    }
  }

  private void closed(Connection<?> connection) {
    Session session = open.remove(connection);
    if (session != null) {
      session.closed();
    }
    listener.acceptWhileThereIsRoom();
  }

  /** How many commands were read on a connection whose answers are not written. */
  int pending(Connection<?> connection) {
    return pending.get(connection).get();
  }

  /** One more answer is written. */
  void answered(Connection<?> connection) {
    pending.get(connection).decrementAndGet();
  }

  /** What comes on a connection from here on is not begun. */
  void drop(Connection<?> connection) {
    codec.drop(connection);
  }

  /** More or fewer bytes wait on a connection. */
  void countBacklog(int bytes) {
    backlogBytes += bytes;
  }

  /**
   * True where a further request is answered at once: the process ends soon, or what waits takes up as much
   * memory as it may.
   */
  boolean mayNotWait() {
    return refusesWaiting || backlogBytes > FULL_BACKLOG_BYTES;
  }

  /** From here on no request waits behind others: those that do, and those to come, are answered at once. */
  public void refuseQueuedRequests() {
    refusesWaiting = true;
    open.values().forEach(Session::refuseQueuedRequests);
  }

  /** True while an answer to what was read is not written whole. */
  public boolean hasUnanswered() {
    return open.keySet().stream().anyMatch(connection -> pending(connection) > 0);
  }

  /** True where even the places of answers take too much: the connection that adds one is ended. */
  boolean backlogsAreOverfull() {
    return backlogBytes > OVERFULL_BACKLOG_BYTES;
  }

  MemoryManager<?> memory() {
    return transport.getMemoryManager();
  }

  /**
   * Takes no more connections. Who is in the middle of a command, or has said nothing yet, has so much time
   * to come to its end.
   */
  public void stopListening(double patience) {
    halfCommandsUntil = clock.getAsDouble() + patience;
    listener.close(this::endIdle);
  }

  /**
   * Ends the connections on which nothing is open. Guards against a request that is on its way: one that has
   * begun may come to its end, and who has just connected may ask.
   */
  private void endIdle() {
    double now = clock.getAsDouble();
    for (Map.Entry<Connection<?>, Session> entry : List.copyOf(open.entrySet())) {
      boolean onItsWay = codec.hasHalf(entry.getKey()) || entry.getValue().isSilent();
      if (!onItsWay || now >= halfCommandsUntil) {
        entry.getValue().closeWhenIdle();
      }
    }
    if (!open.isEmpty()) {
      loop.schedule(this::endIdle, END_STEP_MS, TimeUnit.MILLISECONDS);
    }
  }

  double now() {
    return clock.getAsDouble();
  }

  /** True once nobody is listened to, and all connections have ended. */
  public boolean isDrained() {
    return listener.isClosed() && open.isEmpty();
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

package beampoint.discovery;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.http.HttpContent;
import beampoint.http.HttpFault;
import beampoint.http.HttpFilter;
import beampoint.http.HttpHead;
import beampoint.http.HttpWriter;
import beampoint.log.Log;
import beampoint.settings.Address;
import beampoint.transport.SocketReadFilter;
import com.google.gson.JsonParseException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Follows the list of hosts: keeps a watch, a long-lived HTTP request, open at discovery and passes on each
 * list that it delivers. A watch that fails, or that delivers neither a list nor a heartbeat in time, is
 * opened again after a growing backoff with jitter, so that the proxies of a fleet do not all reconnect at
 * once. Confined to the decision thread.
 */
public final class HostListWatcher {

  private static final Log LOG = Log.of("discovery");
  /**
   * How long a watch may deliver nothing. Discovery sends a heartbeat, an empty line, every 2 s, and requires
   * that a proxy knows of a change at most 6 s after the change, even if the watch that was open delivered
   * nothing.
   */
  public static final long HEARTBEAT_TIMEOUT_MS = 3000;
  /** Time for connecting and for the response head together; a running discovery responds at once. */
  public static final long RESPONSE_TIMEOUT_MS = 200;
  private static final long FIRST_BACKOFF_MS = 100;
  // Short, because a proxy is required to know of a change soon after discovery can be reached.
  static final long MAX_BACKOFF_MS = 150;
  /** Extra delay of a timeout, so that data that has already arrived is read first. */
  private static final long PENDING_READS_DELAY_MS = 1;
  private static final int MAX_WATCHES_AWAITING_RESPONSE = 6; // kept open beside the current one
  /** The longest list: 4,096 entries of 512 bytes, the size of indented entries with long names. */
  static final int MAX_LIST_BYTES = 4_096 * 512;

  private final ScheduledExecutorService loop;
  private final Counters counters;
  private final Random random;
  private final Consumer<HostList> onList;
  private final Runnable onFailure;
  private final long heartbeatTimeoutMs;
  private final long responseTimeoutMs;
  private final HttpWriter writer;
  private final TCPNIOConnectorHandler connector;
  private InetSocketAddress address;
  private long version;
  private Watch current;
  private Watch previous; // at the former address, until the current one has delivered something
  // still open beside later ones, oldest first
  private final Set<Watch> awaitingResponse = new LinkedHashSet<>();
  private long backoffMs = FIRST_BACKOFF_MS;
  private Consumer<WatchResult> resultListener = result -> {};

  /**
   * RECEIVED: a list or a heartbeat was received. FAILED: the current watch failed or its response did not
   * begin in time.
   */
  public enum WatchResult {
    RECEIVED, FAILED
  }

  /** One watch request, from connecting to its end. */
  private static final class Watch {
    private final InetSocketAddress address;
    private final String hostHeader;
    private Connection<?> connection;
    private boolean hasDelivered; // a list, or the empty line that is a heartbeat
    private Future<?> connecting;
    private Future<?> timeout;
    private final HostListSplitter splitter = new HostListSplitter();

    Watch(InetSocketAddress address) {
      this.address = address;
      this.hostHeader = Address.format(address);
    }
  }

  /**
   * Makes a watcher, which does nothing before {@link #openWatch}.
   *
   * @param loop the decision thread
   * @param random the source of jitter
   * @param address the address of discovery
   * @param version the version of the list that is known already, 0 to get the whole list
   * @param onList is called with each list that is received
   * @param onFailure is called each time the current watch fails or its response does not begin in time
   * @param heartbeatTimeoutMs how long a watch may deliver nothing, as {@link #HEARTBEAT_TIMEOUT_MS}
   * @param responseTimeoutMs the time until a response begins, as {@link #RESPONSE_TIMEOUT_MS}
   */
  public HostListWatcher(TCPNIOTransport transport, ScheduledExecutorService loop, Counters counters,
      Random random,
      InetSocketAddress address, long version, Consumer<HostList> onList, Runnable onFailure,
      long heartbeatTimeoutMs, long responseTimeoutMs) {
    this.loop = loop;
    this.counters = counters;
    this.random = random;
    this.address = address;
    this.version = version;
    this.onList = onList;
    this.onFailure = onFailure;
    this.heartbeatTimeoutMs = heartbeatTimeoutMs;
    this.responseTimeoutMs = responseTimeoutMs;
    this.writer = new HttpWriter(transport.getMemoryManager());
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new SocketReadFilter())
        .add(new HttpFilter(HttpFilter.MessageKind.RESPONSES)).add(new Events());
    this.connector = TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /** Hands each message over to the event loop as a task, which runs after all pending reads. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      Object message = ctx.getMessage();
      loop.execute(() -> handleMessage(watchOn(connection), message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      loop.execute(() -> fail(watchOn(connection), "connection closed by discovery"));
      return ctx.getInvokeAction();
    }
  }

  /** The open watch on a connection, or null. */
  private Watch watchOn(Connection<?> connection) {
    return Stream.concat(Stream.of(current, previous).filter(Objects::nonNull), awaitingResponse.stream())
        .filter(watch -> watch.connection == connection).findFirst().orElse(null);
  }

  /** Sets the listener for each list, heartbeat and failure; it is called after the list was passed on. */
  public void onWatchResult(Consumer<WatchResult> listener) {
    resultListener = listener;
  }

  /** True while a current watch is open or connecting. */
  public boolean isWatching() {
    return current != null;
  }

  /** Opens a watch for the changes since the last version, in place of the current one. */
  public void openWatch() {
    close(current);
    Watch watch = new Watch(address);
    current = watch;
    restartTimeout(watch, responseTimeoutMs, () -> keepAwaitingResponse(watch));
    var connecting = connector.connect(watch.address);
    watch.connecting = connecting;
    connecting.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        loop.execute(() -> handleConnected(watch, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> fail(watch, "connect failed: " + cause.getMessage()));
      }
    });
  }

  /**
   * Moves to another address of discovery. A watch that has delivered something stays open until the watch at
   * the new address has delivered something too, so that no change is missed in between. Returns false if no
   * watch is open; the caller must then open one, which will use the new address.
   */
  public boolean move(InetSocketAddress newAddress) {
    address = newAddress;
    backoffMs = FIRST_BACKOFF_MS;
    List.copyOf(awaitingResponse).forEach(this::close);
    if (current == null) {
      return false;
    }
    if (current.hasDelivered) {
      close(previous);
      previous = current;
      current = null;
    }
    openWatch();
    return true;
  }

  /**
   * Opens a watch after a backoff with jitter. The backoff doubles with each call, up to its limit, until
   * something is received.
   */
  public void openWatchLater() {
    long delayMs = backoffMs / 2 + (long) (random.nextDouble() * backoffMs);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    loop.schedule(() -> {
      if (current == null) {
        openWatch();
      }
    }, delayMs, TimeUnit.MILLISECONDS);
  }

  private void handleConnected(Watch watch, Connection<?> connection) {
    if (!isOpen(watch)) {
      connection.terminateSilently();
      return;
    }
    watch.connection = connection;
    connection.write(writer.get("/discovery/hosts?watch=1&from=" + version, watch.hostHeader));
  }

  private void handleMessage(Watch watch, Object message) {
    if (watch == null) {
      return;
    }
    if (message instanceof HttpFault fault) {
      fail(watch, fault.problem());
    } else if (message instanceof HttpHead head) {
      if (head.status() != 200 || head.hasNoBody()) {
        fail(watch, "HTTP status " + head.status());
      } else {
        handleResponseHead(watch);
      }
    } else if (message instanceof HttpContent content) {
      handleBytes(watch, content.bytes());
      if (content.last()) {
        fail(watch, "response ended by discovery");
      }
    }
  }

  private boolean isOpen(Watch watch) {
    return watch != null && (watch == current || watch == previous || awaitingResponse.contains(watch));
  }

  /** The first watch with a response becomes the current one; others that wait for a response are closed. */
  private void handleResponseHead(Watch watch) {
    restartTimeout(watch, heartbeatTimeoutMs, () -> fail(watch, "silent"));
    if (awaitingResponse.remove(watch)) {
      close(current);
      current = watch;
    }
    if (watch == current) {
      List.copyOf(awaitingResponse).forEach(this::close);
    }
  }

  /**
   * Counts the current watch as failed, because its response has not begun in time, but leaves it open beside
   * the one that follows. A request may be lost at the moment in which discovery comes back. A running
   * discovery responds at once, so another request follows soon; this watch stays open in case all responses
   * are slow.
   */
  private void keepAwaitingResponse(Watch watch) {
    if (watch != current) {
      return;
    }
    current = null;
    awaitingResponse.add(watch);
    if (awaitingResponse.size() > MAX_WATCHES_AWAITING_RESPONSE) {
      close(awaitingResponse.iterator().next());
    }
    restartTimeout(watch, heartbeatTimeoutMs - responseTimeoutMs,
        () -> fail(watch, "no response within " + heartbeatTimeoutMs + " ms"));
    counters.add(Counter.WATCHES_BROKEN);
    onFailure.run();
    resultListener.accept(WatchResult.FAILED);
  }

  private void handleBytes(Watch watch, Buffer bytes) {
    for (int i = bytes.position(); i < bytes.limit() && isOpen(watch); i++) {
      String text = watch.splitter.append(bytes.get(i));
      if (text != null) {
        handleListOrHeartbeat(watch, text);
      } else if (watch.splitter.length() > MAX_LIST_BYTES) {
        fail(watch, "list longer than " + MAX_LIST_BYTES + " bytes");
      }
    }
  }

  /** Handles the text of a list, or the empty text of a heartbeat. */
  private void handleListOrHeartbeat(Watch watch, String text) {
    HostList list = null;
    try {
      list = text.isEmpty() ? null : HostList.parse(text);
    } catch (JsonParseException e) {
      // the changes of the malformed list are lost, so the next watch must deliver the whole list
      version = 0;
      fail(watch, e.getMessage());
      return;
    }
    watch.hasDelivered = true;
    restartTimeout(watch, heartbeatTimeoutMs, () -> fail(watch, "silent"));
    // The address responds, so a watch that fails again is reopened without a long backoff.
    backoffMs = FIRST_BACKOFF_MS;
    if (watch == current) {
      close(previous);
    }
    if (list != null) {
      version = list.version();
      counters.add(Counter.LISTS_RECEIVED);
      onList.accept(list);
    }
    resultListener.accept(WatchResult.RECEIVED);
  }

  /**
   * Starts the timeout of a watch again. Without a timeout the connection would stay open forever if
   * discovery is down and sends nothing, or never completes a list. The action is delayed a little further,
   * so that after a stall of this process the data that arrived meanwhile is read first.
   */
  private void restartTimeout(Watch watch, long timeoutMs, Runnable action) {
    if (watch.timeout != null) {
      watch.timeout.cancel(false);
    }
    watch.timeout = loop.schedule(() -> {
      watch.timeout = loop.schedule(action, PENDING_READS_DELAY_MS, TimeUnit.MILLISECONDS);
    }, timeoutMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Closes a watch and logs the reason; the current watch also counts as failed. The reason "silent" means
   * that neither a list nor a heartbeat was received within the heartbeat timeout.
   */
  private void fail(Watch watch, String reason) {
    if (!isOpen(watch)) {
      return;
    }
    LOG.warn("host list watch at " + watch.hostHeader + " failed: " + reason);
    boolean wasNotCurrent = watch != current; // only the current watch counts as failed
    close(watch);
    if (!wasNotCurrent) {
      counters.add(Counter.WATCHES_BROKEN);
      onFailure.run();
      resultListener.accept(WatchResult.FAILED);
    }
  }

  /** Closes a watch without counting it as failed; null has no effect. */
  private void close(Watch watch) {
    if (watch == null) {
      return;
    }
    watch.timeout.cancel(false);
    if (watch.connection != null) {
      watch.connection.terminateSilently();
    } else {
      watch.connecting.cancel(true);
    }
    awaitingResponse.remove(watch);
    current = current == watch ? null : current;
    previous = previous == watch ? null : previous;
  }
}

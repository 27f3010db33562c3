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
 * list that it delivers. A watch that breaks, or that delivers neither a list nor a heartbeat in time, is
 * opened again after a growing backoff with jitter, so that the proxies of a fleet do not all reconnect at
 * once. Confined to the decision thread.
 */
public final class HostListWatcher {

  private static final Log LOG = Log.of("discovery");
  /**
   * How long a watch may deliver nothing. Discovery sends a heartbeat, an empty line, every 2 s, and expects
   * a proxy to know a change 6 s after it, even if its watch was silent.
   */
  public static final long HEARTBEAT_TIMEOUT_MS = 3000;
  /** Time for connecting and for the response head together; a running discovery responds at once. */
  public static final long RESPONSE_TIMEOUT_MS = 200;
  private static final long FIRST_BACKOFF_MS = 100;
  // Short, as a proxy is expected to know a change soon after discovery can be reached.
  static final long MAX_BACKOFF_MS = 150;
  private static final long PENDING_READS_DELAY_MS = 1;
  private static final int MAX_UNANSWERED_WATCHES = 6; // kept open beside the current one
  /** The longest list: 4,096 entries of 512 bytes, the size of indented entries with long names. */
  static final int MAX_LIST_BYTES = 4_096 * 512;

  private final ScheduledExecutorService loop;
  private final Counters counters;
  private final Random random;
  private final Consumer<HostList> onList;
  private final Runnable onBreak;
  private final long heartbeatTimeoutMs;
  private final long answerTimeoutMs;
  private final HttpWriter writer;
  private final TCPNIOConnectorHandler connector;
  private InetSocketAddress address;
  private long version;
  private Watch current;
  private Watch previous; // at the former address, until the watch at the new one has delivered something
  private final Set<Watch> unanswered = new LinkedHashSet<>(); // still open beside later ones, oldest first
  private long backoffMs = FIRST_BACKOFF_MS;
  private Consumer<WatchResult> resultListener = result -> {};

  /** RECEIVED: a list or a heartbeat was received. FAILED: the current watch broke or was not answered. */
  public enum WatchResult {
    RECEIVED, FAILED
  }

  /** One watch request, from connecting to its end. */
  private static final class Watch {
    private final InetSocketAddress address;
    private final String host;
    private Connection<?> connection;
    private boolean received; // a list, or the empty line that is a heartbeat
    private Future<?> connecting;
    private Future<?> timeout;
    private final HostListSplitter text = new HostListSplitter();

    Watch(InetSocketAddress address) {
      this.address = address;
      this.host = Address.format(address);
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
   * @param onBreak is called each time the current watch breaks or is not answered in time
   * @param heartbeatTimeoutMs how long a watch may deliver nothing, as {@link #HEARTBEAT_TIMEOUT_MS}
   * @param answerTimeoutMs the time until a response begins, as {@link #RESPONSE_TIMEOUT_MS}
   */
  public HostListWatcher(TCPNIOTransport transport, ScheduledExecutorService loop, Counters counters,
      Random random,
      InetSocketAddress address, long version, Consumer<HostList> onList, Runnable onBreak,
      long heartbeatTimeoutMs, long answerTimeoutMs) {
    this.loop = loop;
    this.counters = counters;
    this.random = random;
    this.address = address;
    this.version = version;
    this.onList = onList;
    this.onBreak = onBreak;
    this.heartbeatTimeoutMs = heartbeatTimeoutMs;
    this.answerTimeoutMs = answerTimeoutMs;
    this.writer = new HttpWriter(transport.getMemoryManager());
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new SocketReadFilter())
        .add(new HttpFilter(HttpFilter.MessageKind.RESPONSES)).add(new Events());
    this.connector = TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /** Passes on what was read as tasks, which run after all pending reads. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      Object message = ctx.getMessage();
      loop.execute(() -> read(watchOn(connection), message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      loop.execute(() -> end(watchOn(connection), "connection closed by discovery"));
      return ctx.getInvokeAction();
    }
  }

  /** The open watch on a connection, or null. */
  private Watch watchOn(Connection<?> connection) {
    return Stream.concat(Stream.of(current, previous).filter(Objects::nonNull), unanswered.stream())
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
    restartTimeout(watch, answerTimeoutMs, () -> keepUnanswered(watch));
    var connecting = connector.connect(watch.address);
    watch.connecting = connecting;
    connecting.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        loop.execute(() -> connected(watch, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> end(watch, "connect failed: " + cause.getMessage()));
      }
    });
  }

  /**
   * Follows the list at another address. A watch that has delivered something stays open until the one at the
   * new address has delivered something too, so that no change is missed in between. Returns false where
   * there is no current watch and none is opened; the next one will use the new address.
   */
  public boolean move(InetSocketAddress newAddress) {
    address = newAddress;
    backoffMs = FIRST_BACKOFF_MS;
    List.copyOf(unanswered).forEach(this::close);
    if (current == null) {
      return false;
    }
    if (current.received) {
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

  private void connected(Watch watch, Connection<?> connection) {
    if (!isOpen(watch)) {
      connection.terminateSilently();
      return;
    }
    watch.connection = connection;
    connection.write(writer.get("/discovery/hosts?watch=1&from=" + version, watch.host));
  }

  private void read(Watch watch, Object message) {
    if (watch == null) {
      return;
    }
    if (message instanceof HttpFault fault) {
      end(watch, fault.problem());
    } else if (message instanceof HttpHead head) {
      if (head.status() != 200 || head.hasNoBody()) {
        end(watch, "HTTP status " + head.status());
      } else {
        responded(watch);
      }
    } else if (message instanceof HttpContent content) {
      receive(watch, content.bytes());
      if (content.last()) {
        end(watch, "response ended by discovery");
      }
    }
  }

  private boolean isOpen(Watch watch) {
    return watch != null && (watch == current || watch == previous || unanswered.contains(watch));
  }

  /** The first watch that is answered becomes the current one; others that wait for an answer are closed. */
  private void responded(Watch watch) {
    restartTimeout(watch, heartbeatTimeoutMs, () -> end(watch, "silent"));
    if (unanswered.remove(watch)) {
      close(current);
      current = watch;
    }
    if (watch == current) {
      List.copyOf(unanswered).forEach(this::close);
    }
  }

  /**
   * Counts the current watch as broken, as its response has not begun in time, but leaves it open beside the
   * one that follows. A request may be lost at the moment in which discovery comes back. A running discovery
   * responds at once, so another request follows soon; this one stays open in case all responses are slow.
   */
  private void keepUnanswered(Watch watch) {
    if (watch != current) {
      return;
    }
    current = null;
    unanswered.add(watch);
    if (unanswered.size() > MAX_UNANSWERED_WATCHES) {
      close(unanswered.iterator().next());
    }
    restartTimeout(watch, heartbeatTimeoutMs - answerTimeoutMs,
        () -> end(watch, "no response within " + heartbeatTimeoutMs + " ms"));
    counters.add(Counter.WATCHES_BROKEN);
    onBreak.run();
    resultListener.accept(WatchResult.FAILED);
  }

  private void receive(Watch watch, Buffer bytes) {
    for (int i = bytes.position(); i < bytes.limit() && isOpen(watch); i++) {
      String text = watch.text.append(bytes.get(i));
      if (text != null) {
        received(watch, text);
      } else if (watch.text.length() > MAX_LIST_BYTES) {
        end(watch, "list longer than " + MAX_LIST_BYTES + " bytes");
      }
    }
  }

  /** Handles the text of a list, or the empty text of a heartbeat. */
  private void received(Watch watch, String text) {
    HostList list = null;
    try {
      list = text.isEmpty() ? null : HostList.parse(text);
    } catch (JsonParseException e) {
      version = 0; // the changes in it are lost, so the next watch must deliver the whole list
      end(watch, e.getMessage());
      return;
    }
    watch.received = true;
    restartTimeout(watch, heartbeatTimeoutMs, () -> end(watch, "silent"));
    // The address responds, so a watch that breaks or falls silent again is reopened without a long backoff.
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
   * Starts the timeout of a watch again. Without it the connection would stay open forever where discovery is
   * down and sends nothing, or never completes a list. The action is delayed a little further, so that after
   * a stall of this process the data that arrived meanwhile is read first.
   */
  private void restartTimeout(Watch watch, long timeoutMs, Runnable action) {
    if (watch.timeout != null) {
      watch.timeout.cancel(false);
    }
    watch.timeout = loop.schedule(() -> {
      watch.timeout = loop.schedule(action, PENDING_READS_DELAY_MS, TimeUnit.MILLISECONDS);
    }, timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void end(Watch watch, String reason) {
    if (!isOpen(watch)) {
      return;
    }
    LOG.warn("host list watch at " + watch.host + " ended: " + reason);
    boolean replaced = watch != current; // another one is open, or will be opened after the backoff
    close(watch);
    if (!replaced) {
      counters.add(Counter.WATCHES_BROKEN);
      onBreak.run();
      resultListener.accept(WatchResult.FAILED);
    }
  }

  /** Closes a watch without counting it as broken; null has no effect. */
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
    unanswered.remove(watch);
    current = current == watch ? null : current;
    previous = previous == watch ? null : previous;
  }
}

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
import beampoint.transport.PeerFilter;
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
 * Follows the list of hosts. A watch that breaks, or is silent for longer than discovery ever is, is asked
 * for again after a wait that grows and is scattered, lest all proxies come back at once. Belongs to the
 * decision thread.
 */
public final class HostListWatcher {

  private static final Log LOG = Log.of("discovery");
  /** The heartbeat time-out: an empty line comes every 2 s, and what it should tell counts after 6 s. */
  public static final long HEARTBEAT_TIMEOUT_MS = 3000;
  /** Until an answer begins, with its connection: who answers at all does so at once. */
  public static final long ANSWER_TIMEOUT_MS = 200;
  private static final long FIRST_BACKOFF_MS = 100;
  static final long MAX_BACKOFF_MS = 150; // what is told counts soon after it could be heard
  private static final long PAUSE_MS = 1;
  private static final int MAX_LATE_CALLS = 6; // without an answer that are read on
  /** Of one list: 4,096 entries of 512 bytes, as indented ones with long names have. */
  static final int MAX_LIST_BYTES = 4_096 * 512;

  private final ScheduledExecutorService loop;
  private final Counters counters;
  private final Random random;
  private final Consumer<HostList> listed;
  private final Runnable broken;
  private final long silenceMs;
  private final long answerMs;
  private final HttpWriter writer;
  private final TCPNIOConnectorHandler connector;
  private InetSocketAddress address;
  private long version;
  private Call call;
  private Call before; // at the address that was left, until the new one has brought something
  private final Set<Call> late = new LinkedHashSet<>(); // without an answer, beside those made after them
  private long wait = FIRST_BACKOFF_MS;
  private Consumer<WatchResult> afterCall = contact -> {}; // told of each outcome of a call

  /** What a call has shown: a list or that nothing changed, or that discovery can't be reached for now. */
  public enum WatchResult {
    RECEIVED, FAILED
  }

  /** One watch, from its connection to its end. */
  private static final class Call {
    private final InetSocketAddress address;
    private final String host;
    private Connection<?> connection;
    private boolean heard; // a list, or the empty line that stands for no change
    private Future<?> connecting;
    private Future<?> silence;
    private final ListText text = new ListText();

    Call(InetSocketAddress address) {
      this.address = address;
      this.host = Address.text(address);
    }
  }

  /** The given call back is told of every list, {@code broken} of every end of a watch. */
  public HostListWatcher(TCPNIOTransport transport, ScheduledExecutorService loop, Counters counters,
      Random random,
      InetSocketAddress address, long version, Consumer<HostList> listed, Runnable broken,
      long silenceMs, long answerMs) {
    this.loop = loop;
    this.counters = counters;
    this.random = random;
    this.address = address;
    this.version = version;
    this.listed = listed;
    this.broken = broken;
    this.silenceMs = silenceMs;
    this.answerMs = answerMs;
    this.writer = new HttpWriter(transport.getMemoryManager());
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new PeerFilter())
        .add(new HttpFilter(HttpFilter.Side.RESPONSES)).add(new Events());
    this.connector = TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /** Hands on what was read, as tasks that run once all that is ready has been read. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      Object message = ctx.getMessage();
      loop.execute(() -> read(callOn(connection), message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      loop.execute(() -> end(callOn(connection), "closed by discovery"));
      return ctx.getInvokeAction();
    }
  }

  /** The call that a connection serves, or null. */
  private Call callOn(Connection<?> connection) {
    return Stream.concat(Stream.of(call, before).filter(Objects::nonNull), late.stream())
        .filter(own -> own.connection == connection).findFirst().orElse(null);
  }

  /** Runs a task with every sign of a call's outcome, after the list that it brought. */
  public void onWatchResult(Consumer<WatchResult> task) {
    afterCall = task;
  }

  /** True while a call is out. */
  public boolean isWatching() {
    return call != null;
  }

  /** Asks for the changes from the last version on; a watch that is open is given up. */
  public void follow() {
    drop(call);
    Call own = new Call(address);
    call = own;
    listen(own, answerMs, () -> waitBeside(own));
    var made = connector.connect(own.address);
    own.connecting = made;
    made.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        loop.execute(() -> connected(own, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> end(own, "not reached: " + cause.getMessage()));
      }
    });
  }

  /**
   * Follows the list at another address. Guards against a gap: the watch that is open is read on until the
   * new one has brought something. False where none is open: who asks next asks there.
   */
  public boolean move(InetSocketAddress to) {
    address = to;
    wait = FIRST_BACKOFF_MS;
    List.copyOf(late).forEach(this::drop);
    if (call == null) {
      return false;
    }
    if (call.heard) {
      drop(before);
      before = call;
      call = null;
    }
    follow();
    return true;
  }

  /** Asks again after a while; every wait without a word between is longer. */
  public void followLater() {
    long scattered = wait / 2 + (long) (random.nextDouble() * wait);
    wait = Math.min(MAX_BACKOFF_MS, wait * 2);
    loop.schedule(() -> {
      if (call == null) {
        follow();
      }
    }, scattered, TimeUnit.MILLISECONDS);
  }

  private void connected(Call own, Connection<?> connection) {
    if (!isOpen(own)) {
      connection.terminateSilently();
      return;
    }
    own.connection = connection;
    connection.write(writer.get("/discovery/hosts?watch=1&from=" + version, own.host));
  }

  private void read(Call own, Object message) {
    if (own == null) {
      return;
    }
    if (message instanceof HttpFault fault) {
      end(own, fault.problem());
    } else if (message instanceof HttpHead head) {
      if (head.status() != 200 || head.whole()) {
        end(own, "answered " + head.status());
      } else {
        answered(own);
      }
    } else if (message instanceof HttpContent content) {
      take(own, content.bytes());
      if (content.last()) {
        end(own, "ended by discovery");
      }
    }
  }

  private boolean isOpen(Call own) {
    return own != null && (own == call || own == before || late.contains(own));
  }

  /** The first call that is answered is the one; others that wait beside it are given up. */
  private void answered(Call own) {
    listen(own, silenceMs, () -> end(own, "silent"));
    if (late.remove(own)) {
      drop(call);
      call = own;
    }
    if (own == call) {
      List.copyOf(late).forEach(this::drop);
    }
  }

  /**
   * Guards against a call that crossed the moment in which discovery came back: who answers at all does so at
   * once, so another call is made soon. This one is read on beside it, should all answers be slow.
   */
  private void waitBeside(Call own) {
    if (own != call) {
      return;
    }
    call = null;
    late.add(own);
    if (late.size() > MAX_LATE_CALLS) {
      drop(late.iterator().next());
    }
    listen(own, silenceMs - answerMs, () -> end(own, "not answered"));
    counters.add(Counter.WATCHES_BROKEN);
    broken.run();
    afterCall.accept(WatchResult.FAILED);
  }

  private void take(Call own, Buffer bytes) {
    for (int i = bytes.position(); i < bytes.limit() && isOpen(own); i++) {
      String text = own.text.take(bytes.get(i));
      if (text != null) {
        line(own, text);
      } else if (own.text.length() > MAX_LIST_BYTES) {
        end(own, "list too long");
      }
    }
  }

  private void line(Call own, String text) {
    HostList list = null;
    try {
      list = text.isEmpty() ? null : HostList.parse(text);
    } catch (JsonParseException e) {
      version = 0; // what it held is lost: the next watch must bring the whole list
      end(own, e.getMessage());
      return;
    }
    own.heard = true;
    listen(own, silenceMs, () -> end(own, "silent"));
    // Guards against a watch that falls silent again and is asked for too late: its address answers.
    wait = FIRST_BACKOFF_MS;
    if (own == call) {
      drop(before);
    }
    if (list != null) {
      version = list.version();
      counters.add(Counter.LISTS_RECEIVED);
      listed.accept(list);
    }
    afterCall.accept(WatchResult.RECEIVED);
  }

  /**
   * Guards against a discovery that is down and says nothing, or nothing whole: its connection would never
   * end. Where this process itself was held up, what has come meanwhile is read first.
   */
  private void listen(Call own, long longest, Runnable then) {
    if (own.silence != null) {
      own.silence.cancel(false);
    }
    own.silence = loop.schedule(() -> {
      own.silence = loop.schedule(then, PAUSE_MS, TimeUnit.MILLISECONDS);
    }, longest, TimeUnit.MILLISECONDS);
  }

  private void end(Call own, String why) {
    if (!isOpen(own)) {
      return;
    }
    LOG.warn("the watch at " + own.host + " ended: " + why);
    boolean replaced = own != call; // its successor is open, or is asked for again
    drop(own);
    if (!replaced) {
      counters.add(Counter.WATCHES_BROKEN);
      broken.run();
      afterCall.accept(WatchResult.FAILED);
    }
  }

  private void drop(Call own) {
    if (own == null) {
      return;
    }
    own.silence.cancel(false);
    if (own.connection != null) {
      own.connection.terminateSilently();
    } else {
      own.connecting.cancel(true);
    }
    late.remove(own);
    call = call == own ? null : call;
    before = before == own ? null : before;
  }
}

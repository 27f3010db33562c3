package beampoint.discovery;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.http.HttpContent;
import beampoint.http.HttpFilter;
import beampoint.http.HttpHead;
import beampoint.http.HttpWriter;
import beampoint.log.Log;
import beampoint.settings.Address;
import com.google.gson.JsonParseException;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Follows the list of hosts. A watch that breaks, or is silent for longer than discovery ever is, is asked
 * for again after a wait that grows and is scattered, lest all proxies come back at once. Belongs to the
 * decision thread.
 */
public final class Watch {

  private static final Log LOG = Log.of("discovery");
  /** An empty line comes every 2 s; what discovery has to tell counts as told after 6 s. */
  public static final long SILENCE_MS = 5000;
  private static final long FIRST_WAIT_MS = 100;
  private static final long LONGEST_WAIT_MS = 1000; // what is told counts from when it could be heard
  private static final int MAX_LINE = 8 * 1024 * 1024;

  private final ScheduledExecutorService loop;
  private final Counters counters;
  private final Random random;
  private final InetSocketAddress address;
  private final String host;
  private final Consumer<HostList> listed;
  private final Runnable broken;
  private final long silenceMs;
  private final HttpWriter writer;
  private final TCPNIOConnectorHandler connector;
  private long version;
  private Call call;
  private long wait = FIRST_WAIT_MS;

  /** One watch, from its connection to its end. */
  private static final class Call {
    private Connection<?> connection;
    private Future<?> connecting;
    private Future<?> silence;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  }

  /** The given call back is told of every list, {@code broken} of every end of a watch. */
  public Watch(TCPNIOTransport transport, ScheduledExecutorService loop, Counters counters, Random random,
      InetSocketAddress address, long version, Consumer<HostList> listed, Runnable broken,
      long silenceMs) {
    this.loop = loop;
    this.counters = counters;
    this.random = random;
    this.address = address;
    this.host = Address.text(address);
    this.version = version;
    this.listed = listed;
    this.broken = broken;
    this.silenceMs = silenceMs;
    this.writer = new HttpWriter(transport.getMemoryManager());
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new TransportFilter())
        .add(new HttpFilter()).add(new Events());
    this.connector = TCPNIOConnectorHandler.builder(transport).processor(chain.build()).build();
  }

  /** Runs on the selector's thread and hands all on to the decision thread. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      Object message = ctx.getMessage();
      loop.execute(() -> read(connection, message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<?> connection = ctx.getConnection();
      loop.execute(() -> {
        if (call != null && call.connection == connection) {
          end("closed by discovery");
        }
      });
      return ctx.getInvokeAction();
    }
  }

  /** Asks for the changes from the last version on; a watch that is open is given up. */
  public void follow() {
    drop();
    Call own = new Call();
    call = own;
    listen(own);
    var made = connector.connect(address);
    own.connecting = made;
    made.addCompletionHandler(new EmptyCompletionHandler<>() {
      @Override
      public void completed(@SuppressWarnings("rawtypes") Connection connection) {
        loop.execute(() -> connected(own, connection));
      }

      @Override
      public void failed(Throwable cause) {
        loop.execute(() -> {
          if (call == own) {
            end("not reached: " + cause.getMessage());
          }
        });
      }
    });
  }

  /** Asks again after a while; every wait without a list between is longer. */
  public void followLater() {
    long scattered = wait / 2 + (long) (random.nextDouble() * wait);
    wait = Math.min(LONGEST_WAIT_MS, wait * 2);
    loop.schedule(() -> {
      if (call == null) {
        follow();
      }
    }, scattered, TimeUnit.MILLISECONDS);
  }

  private void connected(Call own, Connection<?> connection) {
    if (call != own) {
      connection.terminateSilently();
      return;
    }
    own.connection = connection;
    connection.write(writer.get("/discovery/hosts?watch=1&from=" + version, host));
  }

  private void read(Connection<?> connection, Object message) {
    if (call == null || call.connection != connection) {
      return;
    }
    listen(call);
    if (message instanceof HttpHead head && (head.status() != 200 || head.whole())) {
      end("answered " + head.status());
    } else if (message instanceof HttpContent content) {
      take(call, content.bytes());
      if (content.last()) {
        end("ended by discovery");
      }
    }
  }

  private void take(Call own, Buffer bytes) {
    for (int i = bytes.position(); i < bytes.limit() && call == own; i++) {
      if (bytes.get(i) != '\n') {
        own.line.write(bytes.get(i));
      } else {
        String text = own.line.toString(StandardCharsets.UTF_8).trim();
        own.line.reset();
        if (!text.isEmpty()) {
          line(text);
        }
      }
    }
    if (own.line.size() > MAX_LINE) {
      end("line too long");
    }
  }

  private void line(String text) {
    HostList list;
    try {
      list = HostList.parse(text);
    } catch (JsonParseException e) {
      version = 0; // what it held is lost: the next watch must bring the whole list
      end(e.getMessage());
      return;
    }
    version = list.version();
    wait = FIRST_WAIT_MS;
    counters.add(Counter.LISTS_RECEIVED);
    listed.accept(list);
  }

  /** Guards against a discovery that is down and says nothing: its connection would never end. */
  private void listen(Call own) {
    if (own.silence != null) {
      own.silence.cancel(false);
    }
    own.silence = loop.schedule(() -> {
      if (call == own) {
        end("silent");
      }
    }, silenceMs, TimeUnit.MILLISECONDS);
  }

  private void end(String why) {
    LOG.warn("the watch ended: " + why);
    counters.add(Counter.WATCHES_BROKEN);
    drop();
    broken.run();
  }

  private void drop() {
    if (call == null) {
      return;
    }
    call.silence.cancel(false);
    if (call.connection != null) {
      call.connection.terminateSilently();
    } else if (call.connecting != null) {
      call.connecting.cancel(true);
    }
    call = null;
  }
}

package beampoint.ops;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.http.HttpContent;
import beampoint.http.HttpFault;
import beampoint.http.HttpFilter;
import beampoint.http.HttpRequest;
import beampoint.http.HttpWriter;
import beampoint.transport.LingeringClose;
import beampoint.transport.SocketReadFilter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The HTTP server at the operators' address: reads a call, has the service carry it out and answers; one call
 * to a connection. Belongs to the decision thread. Guards against callers that never finish: they are few at
 * a time, and none stays long.
 */
public final class AdminServer {

  /**
   * Connections that may be open at once; the one that has been open longest makes room for the next. Each
   * call is answered in the pass in which it is read, so a few are enough however many nodes are called out,
   * and more would take descriptors from clients and cache nodes.
   */
  public static final int MAX_CONNECTIONS = 16;
  private static final long MAX_CALL_MS = 3000;
  private static final int MAX_BODY_BYTES = 16 * 1024; // of a call, which needs none
  private static final String DETACH = "/_cache-nodes/detach/";
  private static final String ATTACH = "/_cache-nodes/attach/";

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final AdminService service;
  private final Counters counters;
  private final HttpWriter writer;
  private final Map<Connection<SocketAddress>, Call> open = new LinkedHashMap<>(); // the longest open first
  private volatile TCPNIOServerConnection listener; // null before it listens

  /** One connection. */
  private static final class Call {
    private Future<?> end;
    private HttpRequest request;
    private long body;
    private boolean answered;
  }

  /** An answer's head and its text. */
  private record Reply(int status, String reason, String text) {}

  public AdminServer(TCPNIOTransport transport, ScheduledExecutorService loop, AdminService service,
      Counters counters) {
    this.transport = transport;
    this.loop = loop;
    this.service = service;
    this.counters = counters;
    this.writer = new HttpWriter(transport.getMemoryManager());
  }

  /** Listens on this address only; returns it with the port that the system picks where it is 0. */
  public InetSocketAddress listen(SocketAddress address) throws IOException {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new SocketReadFilter())
        .add(new HttpFilter(HttpFilter.Side.REQUESTS)).add(new Events());
    listener = TCPNIOBindingHandler.builder(transport).processor(chain.build()).build().bind(address);
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** The port that operators call; 0 before it listens. */
  public int port() {
    return listener == null ? 0 : ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** Hands on what was read, as tasks that run once all that is ready has been read. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      Connection<SocketAddress> connection = connection(ctx);
      loop.execute(() -> opened(connection));
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Connection<SocketAddress> connection = connection(ctx);
      Object message = ctx.getMessage();
      loop.execute(() -> read(connection, message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<SocketAddress> connection = connection(ctx);
      loop.execute(() -> closed(connection));
      return ctx.getInvokeAction();
    }

    @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
    private Connection<SocketAddress> connection(FilterChainContext ctx) {
      return ctx.getConnection();
    }
  }

  private void opened(Connection<SocketAddress> connection) {
    if (open.size() >= MAX_CONNECTIONS) {
      end(open.keySet().iterator().next());
    }
    Call call = new Call();
    call.end = loop.schedule(() -> end(connection), MAX_CALL_MS, TimeUnit.MILLISECONDS);
    open.put(connection, call);
  }

  private void end(Connection<SocketAddress> connection) {
    Call call = open.get(connection);
    if (call != null && !call.answered) {
      counters.add(Counter.OPS_CALLS_UNFINISHED);
    }
    closed(connection);
    connection.terminateSilently();
  }

  private void closed(Connection<SocketAddress> connection) {
    Call call = open.remove(connection);
    if (call != null) {
      call.end.cancel(false);
    }
  }

  private void read(Connection<SocketAddress> connection, Object message) {
    Call call = open.get(connection);
    if (call == null || call.answered) {
      return; // or closed
    }
    if (message instanceof HttpFault fault) {
      answer(connection, new Reply(400, "Bad Request", fault.problem()));
    } else if (message instanceof HttpRequest request) {
      call.request = request;
      if (request.whole()) {
        answer(connection, carryOut(request));
      }
    } else if (message instanceof HttpContent content) {
      call.body += content.bytes().remaining();
      if (call.body > MAX_BODY_BYTES) {
        answer(connection, new Reply(413, "Content Too Large", "no call has a body"));
      } else if (content.last()) {
        answer(connection, carryOut(call.request));
      }
    }
  }

  private void answer(Connection<SocketAddress> connection, Reply reply) {
    open.get(connection).answered = true;
    Buffer message = writer.answer(reply.status(), reply.reason(), reply.text());
    connection.write(message, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        LingeringClose.begin(connection, loop);
      }
    });
  }

  private Reply carryOut(HttpRequest request) {
    String target = request.target();
    if (target.equals("/_ready")) {
      return !request.method().equals("GET") ? notAllowed()
          : service.isReady() ? new Reply(200, "OK", "ready")
          : new Reply(503, "Service Unavailable", "not ready");
    }
    boolean detach = target.startsWith(DETACH);
    if (!detach && !target.startsWith(ATTACH)) {
      return new Reply(404, "Not Found", "no such call");
    }
    if (!request.method().equals("POST")) {
      return notAllowed();
    }
    String node = decoded(target.substring(DETACH.length()));
    if (node == null) {
      return new Reply(400, "Bad Request", "an id that can't be decoded");
    }
    return switch (detach ? service.detach(node) : service.attach(node)) {
      case DONE -> new Reply(200, "OK", detach ? "out" : "in use");
      case NOT_STORED -> new Reply(500, "Internal Server Error",
          "done, but not stored: it ends with this process");
      case UNKNOWN -> new Reply(404, "Not Found", "no such cache node");
      case TOO_MANY -> new Reply(507, "Insufficient Storage", "too many cache nodes are out");
    };
  }

  private static Reply notAllowed() {
    return new Reply(405, "Method Not Allowed", "GET /_ready, POST for all else");
  }

  /** An id as it was before it was percent-encoded; null where that can't be undone. */
  static String decoded(String text) {
    try {
      // A plus sign stands for itself in a path.
      return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }
}

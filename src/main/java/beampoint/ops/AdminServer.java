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
 * The HTTP server for operators. It reads a request, has the service carry it out and responds, with one
 * request per connection. The number of open connections and the time of each are limited, as clients may
 * never finish their requests. Confined to the decision thread.
 */
public final class AdminServer {

  /**
   * Connections that may be open at once; beyond that the one that has been open longest is closed. Each
   * request gets its response in the pass of the event loop that reads it, so a few connections suffice,
   * however many cache nodes operators detach, and more would take file descriptors from clients and cache
   * nodes.
   */
  public static final int MAX_CONNECTIONS = 16;
  private static final long MAX_REQUEST_MS = 3000;
  private static final int MAX_BODY_BYTES = 16 * 1024; // bodies are ignored, no request needs one
  private static final String DETACH = "/_cache-nodes/detach/";
  private static final String ATTACH = "/_cache-nodes/attach/";

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final AdminService service;
  private final Counters counters;
  private final HttpWriter writer;
  private final Map<Connection<SocketAddress>, Exchange> open = new LinkedHashMap<>(); // oldest first
  private volatile TCPNIOServerConnection listener; // null before listen()

  /** The request and response of one connection. */
  private static final class Exchange {
    private Future<?> timeout;
    private HttpRequest request;
    private long bodyBytes;
    private boolean responded;
  }

  private record Response(int status, String reason, String text) {}

  public AdminServer(TCPNIOTransport transport, ScheduledExecutorService loop, AdminService service,
      Counters counters) {
    this.transport = transport;
    this.loop = loop;
    this.service = service;
    this.counters = counters;
    this.writer = new HttpWriter(transport.getMemoryManager());
  }

  /** Listens on this address only; returns it, with the port chosen by the system if its port is 0. */
  public InetSocketAddress listen(SocketAddress address) throws IOException {
    FilterChainBuilder chain = FilterChainBuilder.stateless().add(new SocketReadFilter())
        .add(new HttpFilter(HttpFilter.MessageKind.REQUESTS)).add(new Events());
    listener = TCPNIOBindingHandler.builder(transport).processor(chain.build()).build().bind(address);
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** The port that the server listens on; 0 before {@link #listen}. */
  public int port() {
    return listener == null ? 0 : ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** Hands each message over to the event loop as a task, which runs after all pending reads. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      Connection<SocketAddress> connection = connection(ctx);
      loop.execute(() -> handleOpened(connection));
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Connection<SocketAddress> connection = connection(ctx);
      Object message = ctx.getMessage();
      loop.execute(() -> handleMessage(connection, message));
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Connection<SocketAddress> connection = connection(ctx);
      loop.execute(() -> handleClosed(connection));
      return ctx.getInvokeAction();
    }

    @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
    private Connection<SocketAddress> connection(FilterChainContext ctx) {
      return ctx.getConnection();
    }
  }

  private void handleOpened(Connection<SocketAddress> connection) {
    if (open.size() >= MAX_CONNECTIONS) {
      closeConnection(open.keySet().iterator().next());
    }
    Exchange exchange = new Exchange();
    exchange.timeout =
        loop.schedule(() -> closeConnection(connection), MAX_REQUEST_MS, TimeUnit.MILLISECONDS);
    open.put(connection, exchange);
  }

  /**
   * Closes a connection that is open for too long, or the oldest of too many; counts it if it got no
   * response.
   */
  private void closeConnection(Connection<SocketAddress> connection) {
    Exchange exchange = open.get(connection);
    if (exchange != null && !exchange.responded) {
      counters.add(Counter.OPS_CALLS_UNFINISHED);
    }
    handleClosed(connection);
    connection.terminateSilently();
  }

  private void handleClosed(Connection<SocketAddress> connection) {
    Exchange exchange = open.remove(connection);
    if (exchange != null) {
      exchange.timeout.cancel(false);
    }
  }

  private void handleMessage(Connection<SocketAddress> connection, Object message) {
    Exchange exchange = open.get(connection);
    if (exchange == null || exchange.responded) {
      return; // closed, or the response was already sent
    }
    if (message instanceof HttpFault fault) {
      respond(connection, new Response(400, "Bad Request", fault.problem()));
    } else if (message instanceof HttpRequest request) {
      exchange.request = request;
      if (request.hasNoBody()) {
        respond(connection, carryOut(request));
      }
    } else if (message instanceof HttpContent content) {
      exchange.bodyBytes += content.bytes().remaining();
      if (exchange.bodyBytes > MAX_BODY_BYTES) {
        respond(connection, new Response(413, "Content Too Large", "no call has a body"));
      } else if (content.last()) {
        respond(connection, carryOut(exchange.request));
      }
    }
  }

  private void respond(Connection<SocketAddress> connection, Response response) {
    open.get(connection).responded = true;
    Buffer message = writer.response(response.status(), response.reason(), response.text());
    connection.write(message, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        LingeringClose.begin(connection, loop);
      }
    });
  }

  private Response carryOut(HttpRequest request) {
    String target = request.target();
    if (target.equals("/_ready")) {
      return !request.method().equals("GET") ? notAllowed()
          : service.isReady() ? new Response(200, "OK", "ready")
          : new Response(503, "Service Unavailable", "not ready");
    }
    boolean detach = target.startsWith(DETACH);
    if (!detach && !target.startsWith(ATTACH)) {
      return new Response(404, "Not Found", "no such call");
    }
    if (!request.method().equals("POST")) {
      return notAllowed();
    }
    String node = decoded(target.substring(DETACH.length()));
    if (node == null) {
      return new Response(400, "Bad Request", "an id that can't be decoded");
    }
    return switch (detach ? service.detach(node) : service.attach(node)) {
      case DONE -> new Response(200, "OK", detach ? "out" : "in use");
      case NOT_STORED -> new Response(500, "Internal Server Error",
          "done, but not stored: it ends with this process");
      case UNKNOWN -> new Response(404, "Not Found", "no such cache node");
      case TOO_MANY -> new Response(507, "Insufficient Storage", "too many cache nodes are out");
    };
  }

  private static Response notAllowed() {
    return new Response(405, "Method Not Allowed", "GET /_ready, POST for all else");
  }

  /** Decodes a percent-encoded id; returns null if the encoding is malformed. */
  static String decoded(String text) {
    try {
      // URLDecoder decodes form data, where a plus sign is a blank; in a path it stands for itself.
      return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }
}

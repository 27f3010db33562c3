package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Result;
import beampoint.Balancer.Settings;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs a scenario with proxies that are real processes, while the model of caches and origin serves on
 * loopback.
 */
final class ProcessFleet implements Closeable {

  private static final double NODE_POLL_MS = 20; // how often the nodes' listeners follow the model
  private static final double HEARTBEAT_INTERVAL_MS = 2000;

  private final WallClock clock = new WallClock();
  private final List<String> command;
  private final Path directory;
  private final Listener origin = new Listener(this::serveOrigin);
  private final Map<String, Listener> nodeListeners = new TreeMap<>();
  private final Map<String, OpenTry> triesById = new ConcurrentHashMap<>();
  private final Map<ClientRequest.Try, String> idsByTry = new ConcurrentHashMap<>();
  private final World world;
  private long lastId;

  /** A try that has not ended, and the proxy that it was sent to. */
  private record OpenTry(ClientRequest.Try clientTry, ProcessInstance proxy) {}

  ProcessFleet(Scenario scenario, List<String> command, Path directory) throws IOException {
    this.command = command;
    this.directory = directory;
    this.world = new World(scenario, clock, this::create);
  }

  private Instance create(World created, int number, int zone) {
    try {
      return new ProcessInstance(created, number, zone, this);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Runs the scenario once all proxies are ready. Returns null, and does not run the scenario, if a proxy is
   * not ready within {@code maxStartTime} ms.
   */
  Report run(double maxStartTime) throws IOException {
    for (CacheNode node : world.caches()) {
      listenerOf(node);
    }
    world.proxies().forEach(proxy -> proxy.start(world.remembered));
    double end = clock.now() + maxStartTime;
    while (clock.now() < end && !world.proxies().stream().allMatch(Instance::isUp)) {
      clock.runTo(clock.now() + NODE_POLL_MS);
      if (hasUnexpectedExit()) {
        return null;
      }
    }
    if (!world.proxies().stream().allMatch(Instance::isUp)) {
      return null;
    }
    updateNodeListeners();
    sendHeartbeats();
    return world.runStarted();
  }

  /** True if a proxy has ended without being killed. */
  boolean hasUnexpectedExit() {
    return proxies().stream().anyMatch(ProcessInstance::hasUnexpectedExit);
  }

  double lateness() {
    return clock.lateness();
  }

  private List<ProcessInstance> proxies() {
    return world.proxies().stream().map(ProcessInstance.class::cast).toList();
  }

  private void sendHeartbeats() {
    proxies().forEach(ProcessInstance::sendHeartbeat);
    clock.after(HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
  }

  /** Lets each node accept or refuse connections as in the model now; new nodes get their listener here. */
  private void updateNodeListeners() {
    try {
      for (CacheNode node : List.copyOf(world.caches())) {
        listenerOf(node).setListening(!node.dead && !node.refusesConnections);
      }
      if (hasUnexpectedExit()) {
        world.report.recordBrokenRule(clock.now(), "a proxy has ended by itself");
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    clock.after(NODE_POLL_MS, this::updateNodeListeners);
  }

  private Listener listenerOf(CacheNode node) throws IOException {
    Listener listener = nodeListeners.get(node.id);
    if (listener == null) {
      listener = new Listener((socket, in) -> serveNode(node, socket, in));
      nodeListeners.put(node.id, listener);
    }
    return listener;
  }

  void resetConnections(CacheNode node) {
    Listener listener = nodeListeners.get(node.id);
    if (listener != null) {
      listener.resetConnections();
    }
  }

  // ---- Requests -------------------------------------------------------------------------------------------

  void register(ClientRequest.Try clientTry, ProcessInstance proxy) {
    String id = "O" + Long.toHexString(++lastId);
    idsByTry.put(clientTry, id);
    triesById.put(id, new OpenTry(clientTry, proxy));
  }

  String wireId(ClientRequest.Try clientTry) {
    return idsByTry.get(clientTry);
  }

  void forget(ClientRequest.Try clientTry) {
    String id = idsByTry.remove(clientTry);
    if (id != null) {
      // Attempts that the proxy still has in flight for it may arrive a little later.
      clock.after(World.CLIENT_GRACE_MS * 10, () -> triesById.remove(id));
    }
  }

  /** The attempt in flight on one connection. */
  private static final class ConnectionState {
    private Attempt attempt;
    private ProcessInstance proxy;
  }

  private void serveNode(CacheNode node, Socket socket, InputStream in) throws IOException {
    ConnectionState connection = new ConnectionState();
    boolean firstRequest = true;
    clock.post(world.report::recordHandshake);
    try {
      for (String line = Listener.readLine(in); line != null; line = Listener.readLine(in)) {
        String[] fields = line.split(" ");
        boolean newConnection = firstRequest;
        firstRequest = false;
        if (fields[0].equals("mg") && fields.length > 4) {
          clock.post(() -> handleGet(node, socket, connection, fields[3], newConnection));
        } else if (fields[0].equals("mn")) {
          clock.post(() -> handleProbe(node, socket));
        } else {
          Listener.write(socket, "CLIENT_ERROR not understood\r\n");
        }
      }
    } finally {
      clock.post(() -> connectionClosed(connection));
    }
  }

  private void handleProbe(CacheNode node, Socket socket) {
    world.report.recordProbe();
    if (!node.silent) {
      clock.after(world.scenario.delay() * 2, () -> Listener.write(socket, "MN\r\n"));
    }
  }

  private static void connectionClosed(ConnectionState connection) {
    if (connection.attempt != null) {
      connection.proxy.connectionLost(connection.attempt);
    }
  }

  private void handleGet(CacheNode node, Socket socket, ConnectionState connection, String id,
      boolean newConnection) {
    OpenTry openTry = triesById.get(id);
    if (openTry == null) {
      Listener.write(socket, "SERVER_ERROR busy\r\n"); // the request has already ended
      return;
    }
    Attempt attempt = openTry.proxy().attemptArrived(openTry.clientTry(), node);
    attempt.nodeIncarnation = node.incarnation;
    attempt.connected = true;
    connection.attempt = attempt;
    connection.proxy = openTry.proxy();
    attempt.onResult = result -> {
      connection.attempt = null;
      Listener.write(socket, reply(result, id));
    };
    clock.after(openTry.proxy().oneWayDelay(node), () -> {
      if (!attempt.finished) {
        node.receive(attempt, newConnection);
      }
    });
  }

  private static String reply(Result result, String id) {
    return switch (result) {
      case OK -> "VA " + id.length() + " " + id + " h1\r\n" + id + "\r\n";
      case MISS -> "EN " + id + " h0\r\n";
      case FULL -> "SERVER_ERROR busy\r\n";
      default -> "SERVER_ERROR failed\r\n";
    };
  }

  private void serveOrigin(Socket socket, InputStream in) throws IOException {
    ConnectionState connection = new ConnectionState();
    try {
      for (String line = Listener.readLine(in); line != null; line = Listener.readLine(in)) {
        boolean probe = line.startsWith("GET /alive ") || line.startsWith("GET /metrics/load ");
        String id = "";
        int length = 0;
        for (String field = Listener.readLine(in); field != null && !field.isEmpty(); field =
            Listener.readLine(in)) {
          String lowerCase = field.toLowerCase(Locale.ROOT);
          id = lowerCase.startsWith("req-id:") ? field.substring(7).trim() : id;
          if (lowerCase.startsWith("content-length:")) {
            length = Integer.parseInt(field.substring(15).trim());
          }
        }
        in.readNBytes(length);
        // A request to the origin has the id alone, one to a cache node has it after the flag letter O.
        String wireId = "O" + id;
        if (probe) {
          Listener.write(socket, httpResponse("200 OK", "", ""));
        } else {
          clock.post(() -> handleFetch(socket, connection, wireId));
        }
      }
    } finally {
      clock.post(() -> connectionClosed(connection));
    }
  }

  private static String httpResponse(String status, String header, String body) {
    return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private void handleFetch(Socket socket, ConnectionState connection, String id) {
    OpenTry openTry = triesById.get(id);
    if (openTry == null) {
      Listener.write(socket, httpResponse("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
      return;
    }
    Attempt attempt = openTry.proxy().attemptArrived(openTry.clientTry(), null);
    connection.attempt = attempt;
    connection.proxy = openTry.proxy();
    attempt.onResult = result -> {
      connection.attempt = null;
      Listener.write(socket, result == Result.OK ? httpResponse("200 OK", "", id)
          : httpResponse("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
    };
    clock.after(world.scenario.delay(), () -> {
      if (!attempt.finished) {
        world.origin.receive(attempt);
      }
    });
  }

  // ---- Configuration and discovery ------------------------------------------------------------------------

  WallClock clock() {
    return clock;
  }

  List<String> command() {
    return command;
  }

  Path directory() {
    return directory;
  }

  /** A host list in the format of discovery. */
  JsonObject list(long sequence, boolean full, List<Endpoint> endpoints) {
    JsonArray hosts = new JsonArray();
    for (Endpoint endpoint : endpoints) {
      JsonObject host = new JsonObject();
      host.addProperty("host", endpoint.id());
      host.addProperty("dial", dial(endpoint.id()));
      host.addProperty("site", "z" + endpoint.zone());
      host.addProperty("class", endpoint.kind() == World.ORIGIN ? "origin" : "cache");
      host.addProperty("block", endpoint.cell());
      host.addProperty("health", endpoint.state() == EndpointState.RUNNING ? "Ready"
          : endpoint.state() == EndpointState.DRAINING ? "Terminating" : "Gone");
      host.addProperty("share", endpoint.weight());
      host.addProperty("born_ms", endpoint.startedAt());
      hosts.add(host);
    }
    JsonObject list = new JsonObject();
    list.addProperty("seq", sequence);
    list.addProperty("whole", full);
    list.add("hosts", hosts);
    return list;
  }

  private String dial(String id) {
    if (id.equals(OriginServer.ID)) {
      return origin.address();
    }
    try {
      return listenerOf(world.cache(id)).address();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  JsonObject config(Instance proxy, int life, String discovery, List<Endpoint> remembered) {
    JsonObject config = new JsonObject();
    config.addProperty("discovery", discovery);
    Settings settings = world.settings(proxy, life);
    config.addProperty("seed", Long.toHexString(settings.seed()));
    JsonObject limits = new JsonObject();
    limits.addProperty("sockets", 4096);
    config.add("limits", limits);
    config.add("known", list(1, true, remembered));
    config.add("settings", WireSettings.of(world.scenario, settings));
    return config;
  }

  @Override
  public void close() throws IOException {
    for (ProcessInstance proxy : proxies()) {
      proxy.close();
    }
    for (Listener node : new ArrayList<>(nodeListeners.values())) {
      node.close();
    }
    origin.close();
  }
}

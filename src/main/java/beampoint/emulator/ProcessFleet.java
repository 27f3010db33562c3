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

/** The second way of running a day: proxies are processes, and the model answers them on loopback. */
final class ProcessFleet implements Closeable {

  private static final double LOOK_MS = 20; // at which nodes listen
  private static final double BREATH_MS = 2000;

  private final WallClock clock = new WallClock();
  private final List<String> command;
  private final Path directory;
  private final Listener origin = new Listener(this::serveOrigin);
  private final Map<String, Listener> nodes = new TreeMap<>();
  private final Map<String, OpenTry> byId = new ConcurrentHashMap<>();
  private final Map<ClientRequest.Try, String> ids = new ConcurrentHashMap<>();
  private final World world;
  private long lastId;

  /** A request that is open, by the id that stands on the wire. */
  private record OpenTry(ClientRequest.Try clientTry, ProcessInstance proxy) {}

  ProcessFleet(Scenario scenario, List<String> command, Path directory) throws IOException {
    this.command = command;
    this.directory = directory;
    this.world = new World(scenario, clock, this::make);
  }

  private Instance make(World made, int number, int zone) {
    try {
      return new ProcessInstance(made, number, zone, this);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Plays the day once all proxies are ready; null, and nothing played, where one is not after so long. */
  Report play(double longestStart) throws IOException {
    for (CacheNode node : world.caches()) {
      nodeListener(node);
    }
    world.proxies().forEach(proxy -> proxy.start(world.remembered));
    double end = clock.now() + longestStart;
    while (clock.now() < end && !world.proxies().stream().allMatch(Instance::isUp)) {
      clock.runTo(clock.now() + LOOK_MS);
      if (hasFailed()) {
        return null;
      }
    }
    if (!world.proxies().stream().allMatch(Instance::isUp)) {
      return null;
    }
    look();
    breathe();
    return world.playOn();
  }

  /** True where a proxy has ended though nobody ended it. */
  boolean hasFailed() {
    return proxies().stream().anyMatch(ProcessInstance::hasFailed);
  }

  double lateness() {
    return clock.lateness();
  }

  private List<ProcessInstance> proxies() {
    return world.proxies().stream().map(ProcessInstance.class::cast).toList();
  }

  private void breathe() {
    proxies().forEach(ProcessInstance::breathe);
    clock.after(BREATH_MS, this::breathe);
  }

  /** Has each node listen, or refuse, as the model has it now; new ones begin here. */
  private void look() {
    try {
      for (CacheNode node : List.copyOf(world.caches())) {
        nodeListener(node).listen(!node.dead && !node.refuses);
      }
      if (hasFailed()) {
        world.report.broken(clock.now(), "a proxy has ended by itself");
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    clock.after(LOOK_MS, this::look);
  }

  private Listener nodeListener(CacheNode node) throws IOException {
    Listener listener = nodes.get(node.id);
    if (listener == null) {
      listener = new Listener((socket, in) -> serveNode(node, socket, in));
      nodes.put(node.id, listener);
    }
    return listener;
  }

  void reset(CacheNode node) {
    Listener listener = nodes.get(node.id);
    if (listener != null) {
      listener.reset();
    }
  }

  // ---- Requests -------------------------------------------------------------------------------------------

  void register(ClientRequest.Try clientTry, ProcessInstance proxy) {
    String id = "O" + Long.toHexString(++lastId);
    ids.put(clientTry, id);
    byId.put(id, new OpenTry(clientTry, proxy));
  }

  String wireId(ClientRequest.Try clientTry) {
    return ids.get(clientTry);
  }

  void forget(ClientRequest.Try clientTry) {
    String id = ids.remove(clientTry);
    if (id != null) {
      // What the proxy still has out for it may come a little later.
      clock.after(World.PATIENCE * 10, () -> byId.remove(id));
    }
  }

  /** What is out on one connection. */
  private static final class Channel {
    private Attempt attempt;
    private ProcessInstance proxy;
  }

  private void serveNode(CacheNode node, Socket socket, InputStream in) throws IOException {
    Channel channel = new Channel();
    boolean fresh = true;
    clock.post(world.report::handshake);
    try {
      for (String line = Listener.line(in); line != null; line = Listener.line(in)) {
        String[] words = line.split(" ");
        boolean first = fresh;
        fresh = false;
        if (words[0].equals("mg") && words.length > 4) {
          clock.post(() -> came(node, socket, channel, words[3], first));
        } else if (words[0].equals("mn")) {
          clock.post(() -> probed(node, socket));
        } else {
          Listener.write(socket, "CLIENT_ERROR not understood\r\n");
        }
      }
    } finally {
      clock.post(() -> gone(channel));
    }
  }

  private void probed(CacheNode node, Socket socket) {
    world.report.probe();
    if (!node.silent) {
      clock.after(world.scenario.delay() * 2, () -> Listener.write(socket, "MN\r\n"));
    }
  }

  private static void gone(Channel channel) {
    if (channel.attempt != null) {
      channel.proxy.gaveUp(channel.attempt);
    }
  }

  private void came(CacheNode node, Socket socket, Channel channel, String id, boolean fresh) {
    OpenTry known = byId.get(id);
    if (known == null) {
      Listener.write(socket, "SERVER_ERROR busy\r\n"); // the request is over already
      return;
    }
    Attempt attempt = known.proxy().came(known.clientTry(), node);
    attempt.life = node.life;
    attempt.connected = true;
    channel.attempt = attempt;
    channel.proxy = known.proxy();
    attempt.ended = result -> {
      channel.attempt = null;
      Listener.write(socket, words(result, id));
    };
    clock.after(known.proxy().way(node), () -> {
      if (!attempt.over) {
        node.take(attempt, fresh);
      }
    });
  }

  private static String words(Result result, String id) {
    return switch (result) {
      case OK -> "VA " + id.length() + " " + id + " h1\r\n" + id + "\r\n";
      case MISS -> "EN " + id + " h0\r\n";
      case FULL -> "SERVER_ERROR busy\r\n";
      default -> "SERVER_ERROR failed\r\n";
    };
  }

  private void serveOrigin(Socket socket, InputStream in) throws IOException {
    Channel channel = new Channel();
    try {
      for (String line = Listener.line(in); line != null; line = Listener.line(in)) {
        boolean probe = line.startsWith("GET /alive ") || line.startsWith("GET /metrics/load ");
        String id = "";
        int length = 0;
        for (String field = Listener.line(in); field != null && !field.isEmpty(); field = Listener.line(in)) {
          String lower = field.toLowerCase(Locale.ROOT);
          id = lower.startsWith("req-id:") ? field.substring(7).trim() : id;
          if (lower.startsWith("content-length:")) {
            length = Integer.parseInt(field.substring(15).trim());
          }
        }
        in.readNBytes(length);
        String onWire = "O" + id; // there it is the id itself, at a cache node a flag and the id
        if (probe) {
          Listener.write(socket, answer("200 OK", "", ""));
        } else {
          clock.post(() -> fetched(socket, channel, onWire));
        }
      }
    } finally {
      clock.post(() -> gone(channel));
    }
  }

  private static String answer(String status, String header, String body) {
    return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private void fetched(Socket socket, Channel channel, String id) {
    OpenTry known = byId.get(id);
    if (known == null) {
      Listener.write(socket, answer("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
      return;
    }
    Attempt attempt = known.proxy().came(known.clientTry(), null);
    channel.attempt = attempt;
    channel.proxy = known.proxy();
    attempt.ended = result -> {
      channel.attempt = null;
      Listener.write(socket, result == Result.OK ? answer("200 OK", "", id)
          : answer("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
    };
    clock.after(world.scenario.delay(), () -> {
      if (!attempt.over) {
        world.origin.take(attempt);
      }
    });
  }

  // ---- What a proxy is told -------------------------------------------------------------------------------

  WallClock clock() {
    return clock;
  }

  List<String> command() {
    return command;
  }

  Path directory() {
    return directory;
  }

  /** A list as discovery writes it. */
  JsonObject list(long sequence, boolean whole, List<Endpoint> endpoints) {
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
    list.addProperty("whole", whole);
    list.add("hosts", hosts);
    return list;
  }

  private String dial(String id) {
    if (id.equals(OriginServer.ID)) {
      return origin.address();
    }
    try {
      return nodeListener(world.cache(id)).address();
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
    for (Listener node : new ArrayList<>(nodes.values())) {
      node.close();
    }
    origin.close();
  }
}

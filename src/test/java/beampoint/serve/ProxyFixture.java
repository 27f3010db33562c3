package beampoint.serve;

import beampoint.Balancer;
import beampoint.Stub;
import beampoint.count.Counter;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A proxy with a scripted decision module among scripted peers on loopback, and a client for it. */
final class ProxyFixture implements AutoCloseable {

  /** The head of the response with which discovery answers a watch. */
  static final String LIST_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final int MEMORY_MB = 192;

  /** A client's read of a value. */
  static final String READ = "mg 7f3a v O9b Pc=read,t=acme,d=4000\r\n";

  /** The given number of reads, each with an id of its own: {@code O} and its number, from 0 on. */
  static String reads(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(READ.replace("O9b", "O" + i));
    }
    return text.toString();
  }

  /** A client's write of a value. */
  static final String WRITE = "ms 7f3a 5 O9b Pc=put,t=acme,d=4000,k=5c\r\nhello\r\n";

  static final String SETTINGS = """
      {"discovery":"automatic","siblings":2,"zone":0,"localities":["a"],"skus":["m2","origin"],
       "family-info":{"mode":"aside","origin-kind":1},
       "policy-limits":{"max-attempts":3,"probes":true,"retry-after":true,"max-retry-after-ms":700,
                        "connect-timeout-ms":1000,"conn-idle-ms":60000},
       "rules":{"drain-grace-ms":1000},
       "lanes":[{"name":"read","idempotency":"safe","target-ms":500,"hard-limit-ms":1000},
                {"name":"put","idempotency":"keyed","group":"all","target-ms":500,"hard-limit-ms":1000}],
       "accounts":[{"name":"acme","quota-per-s":50},{"name":"other","quota-per-s":50}]}""";

  /** Stands for the decision module: records every event and returns the actions of the test's script. */
  static final class ScriptedModule implements Balancer {
    final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    volatile Function<Event, List<Action>> script = event -> List.of();

    @Override
    public List<Action> handle(double now, Event event) {
      var current = script; // read first: a test that has seen the event may set the script for later ones
      events.add(event);
      return current.apply(event);
    }

    /** Returns the next event of a type and drops those before it; fails after 5 s without any event. */
    <E extends Event> E next(Class<E> type) throws InterruptedException {
      while (true) {
        Event event = events.poll(5, TimeUnit.SECONDS);
        if (event == null) {
          throw new AssertionError("no " + type.getSimpleName() + " received: no event within 5 s");
        }
        if (type.isInstance(event)) {
          return type.cast(event);
        }
      }
    }
  }

  /** The connection of a client to the proxy. */
  static final class Client implements AutoCloseable {
    final Socket socket;
    private final InputStream in;

    Client(ProxyFixture proxy) throws IOException {
      this(proxy.port);
    }

    Client(int port) throws IOException {
      this(port, 0);
    }

    /** A client with a receive buffer of so many bytes; 0 leaves the system's default. */
    Client(int port, int receiveBuffer) throws IOException {
      socket = new Socket();
      if (receiveBuffer > 0) {
        socket.setReceiveBufferSize(receiveBuffer);
      }
      socket.connect(new InetSocketAddress("127.0.0.1", port));
      socket.setSoTimeout(5000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next line, or null at the end. */
    String line() throws IOException {
      return Stub.readLine(in);
    }

    /** Sends text and returns the next line. */
    String request(String text) throws IOException {
      send(text);
      return line();
    }

    /** The next bytes; fewer at the end of the stream. */
    String bytes(int count) throws IOException {
      return new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }

    static void closeAll(List<Client> clients) throws IOException {
      for (Client client : clients) {
        client.close();
      }
    }
  }

  final ScriptedModule module = new ScriptedModule();
  final Proxy proxy;
  final int port;
  private final Stub discovery = unchangedDiscovery();

  /** A proxy with a cache node and an origin at these addresses, and so many descriptors configured. */
  ProxyFixture(String cache, String origin, int sockets) throws Exception {
    this(cache, origin, sockets, SETTINGS, null);
  }

  /** The same with other settings and, if its address is not null, with the test's own discovery. */
  ProxyFixture(String cache, String origin, int sockets, String settings, String discoveryAddress)
      throws Exception {
    this(cache, origin, sockets, settings, discoveryAddress, MEMORY_MB);
  }

  /** A proxy that may use so many MB of memory, with a cache node and an origin at these addresses. */
  static ProxyFixture withMemory(int memoryMb, String cache, String origin) throws Exception {
    return new ProxyFixture(cache, origin, 1024, SETTINGS, null, memoryMb);
  }

  private ProxyFixture(String cache, String origin, int sockets, String settings, String discoveryAddress,
      int memoryMb) throws Exception {
    List<String> hosts = new ArrayList<>();
    hosts.add(host("cache", cache, "m2"));
    hosts.add(host("origin", origin, "origin"));
    String address = discoveryAddress == null ? discovery.address() : discoveryAddress;
    proxy = new Proxy(config(hosts, sockets, address, settings, null, memoryMb), ignored -> module);
    proxy.start();
    port = proxy.port();
    module.next(Balancer.ListReceived.class);
    if (discoveryAddress == null) {
      module.next(Balancer.ListReceived.class); // discovery has confirmed the configured list
    }
  }

  ProxyFixture(String cache, String origin) throws Exception {
    this(cache, origin, 1024);
  }

  /** A discovery that answers each watch with an empty line: the list has not changed. */
  static Stub unchangedDiscovery() throws IOException {
    return new Stub(peer -> {
      peer.head();
      peer.say(LIST_HEAD + "1\r\n\n\r\n");
      peer.beSilent();
    });
  }

  static String host(String name, String dial, String kind) {
    return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"" + kind
        + "\",\"block\":0,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}";
  }

  static Config config(List<String> hosts, int sockets, String discovery) throws Exception {
    return config(hosts, sockets, discovery, SETTINGS);
  }

  static Config config(List<String> hosts, int sockets, String discovery, String settings)
      throws Exception {
    return config(hosts, sockets, discovery, settings, null);
  }

  static Config config(List<String> hosts, int sockets, String discovery, String settings, String ops)
      throws Exception {
    return config(hosts, sockets, discovery, settings, ops, MEMORY_MB);
  }

  private static Config config(List<String> hosts, int sockets, String discovery, String settings,
      String ops, int memoryMb) throws Exception {
    String json = "{" + (ops == null ? "" : "\"ops\":\"" + ops + "\",") + "\"name\":\"n0\","
        + "\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets
        + ",\"memory_mb\":" + memoryMb + "},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
        + String.join(",", hosts)
        + "]},\"settings\":" + settings + "}";
    return Config.read("test", JsonParser.parseString(json).getAsJsonObject());
  }

  /**
   * Makes the module send every request to one endpoint, and refuse overflow requests and those whose attempt
   * has failed.
   */
  void sendTo(String endpoint) {
    module.script = event -> {
      if (event instanceof Balancer.RequestReceived e) {
        return List
            .of(e.overflow() ? new Balancer.Refuse(e.id(), 0) : new Balancer.Send(e.id(), endpoint, 0));
      }
      if (event instanceof Balancer.AttemptEnded e && !e.done()) {
        return List.of(new Balancer.Refuse(e.id(), 0));
      }
      return List.of();
    };
  }

  /** Makes the module refuse every request. */
  void refuseAll() {
    module.script = event -> event instanceof Balancer.RequestReceived e
        ? List.of(new Balancer.Refuse(e.id(), 0)) : List.of();
  }

  /** Waits until the proxy has accepted so many client connections since its start. */
  void awaitClients(long count) {
    awaitCount(Counter.CLIENT_CONNECTIONS, count);
  }

  /** Waits until a counter has reached a value. */
  void awaitCount(Counter counter, long count) {
    while (proxy.counters().get(counter) < count) {
      Thread.onSpinWait();
    }
  }

  /** Sleeps in a module's script, which can't throw checked exceptions. */
  static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a latch in a module's script, which can't throw checked exceptions. */
  static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  Balancer.AttemptEnded nextAttemptEnded() throws InterruptedException {
    return module.next(Balancer.AttemptEnded.class);
  }

  @Override
  public void close() throws IOException {
    proxy.stop();
    discovery.close();
  }
}

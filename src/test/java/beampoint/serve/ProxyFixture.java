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

/** A proxy with a scripted module, among scripted peers on loopback, and a client that talks to it. */
final class ProxyFixture implements AutoCloseable {

  /** With which discovery begins to answer a watch. */
  static final String LIST_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** A client's read of a value. */
  static final String READ = "mg 7f3a v O9b Pc=read,t=acme,d=4000\r\n";

  /** So many reads, of which each has an id of its own: {@code O} and its number from 0 on. */
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

  /** Plays the module: notes every event and answers it as the test says. */
  static final class ScriptedModule implements Balancer {
    final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    volatile Function<Event, List<Action>> script = event -> List.of();

    @Override
    public List<Action> handle(double now, Event event) {
      var present = script; // who has seen the event may change the script: that is for those after it
      events.add(event);
      return present.apply(event);
    }

    /** The next event of a type; fails after five seconds without one. */
    <E extends Event> E next(Class<E> type) throws InterruptedException {
      while (true) {
        Event event = events.poll(5, TimeUnit.SECONDS);
        if (event == null) {
          throw new AssertionError("no " + type.getSimpleName() + " came");
        }
        if (type.isInstance(event)) {
          return type.cast(event);
        }
      }
    }
  }

  /** A client's connection. */
  static final class Client implements AutoCloseable {
    final Socket socket;
    private final InputStream in;

    Client(ProxyFixture proxy) throws IOException {
      this(proxy.port);
    }

    Client(int port) throws IOException {
      this(port, 0);
    }

    /** A client that takes in only so many bytes ahead of its reading, if that is not 0. */
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

    String request(String text) throws IOException {
      send(text);
      return line();
    }

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

  /** A proxy that knows a cache node and an origin at these addresses. */
  ProxyFixture(String cache, String origin, int sockets) throws Exception {
    this(cache, origin, sockets, SETTINGS, null);
  }

  /** The same with settings of its own and, where the address is not null, a discovery of the test's. */
  ProxyFixture(String cache, String origin, int sockets, String settings, String discoveryAddress)
      throws Exception {
    List<String> hosts = new ArrayList<>();
    hosts.add(host("cache", cache, "m2"));
    hosts.add(host("origin", origin, "origin"));
    String address = discoveryAddress == null ? discovery.address() : discoveryAddress;
    proxy = new Proxy(config(hosts, sockets, address, settings), told -> module);
    proxy.start();
    port = proxy.port();
    module.next(Balancer.ListReceived.class);
    if (discoveryAddress == null) {
      module.next(Balancer.ListReceived.class); // discovery has confirmed the first
    }
  }

  ProxyFixture(String cache, String origin) throws Exception {
    this(cache, origin, 1024);
  }

  /** A discovery that answers each watch, and says that nothing has changed. */
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
    String json = "{" + (ops == null ? "" : "\"ops\":\"" + ops + "\",") + "\"name\":\"n0\","
        + "\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets
        + "},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts)
        + "]},\"settings\":" + settings + "}";
    return Config.read("test", JsonParser.parseString(json).getAsJsonObject());
  }

  /** Sends every request that may wait to one endpoint, and refuses what did not end there. */
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

  /** Refuses every request. */
  void refuseAll() {
    module.script = event -> event instanceof Balancer.RequestReceived e
        ? List.of(new Balancer.Refuse(e.id(), 0)) : List.of();
  }

  /** Waits until the proxy has accepted so many connections of clients, since its start. */
  void awaitClients(long count) {
    awaitCount(Counter.CLIENT_CONNECTIONS, count);
  }

  /** Waits until a counter has come to so much. */
  void awaitCount(Counter counter, long count) {
    while (proxy.counters().get(counter) < count) {
      Thread.onSpinWait();
    }
  }

  /** Sleeps in a script of the module, which declares no exceptions. */
  static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits in a script of the module, which declares no exceptions. */
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

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases 5 and 6 need around one proxy: the process, started with the `run` of the deploy file, and sound
 * stand-ins of discovery, cache nodes, the origin and clients, all on loopback addresses and free ports.
 */
final class Stage implements Closeable {

  /** The disruption is left out with TROUBLE=0. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  static final InetAddress HOST = InetAddress.getLoopbackAddress();

  private static final long MAX_RUN_MS = 115_000;

  /** Runs a case; the exit code is 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. */
  interface Script {
    boolean holds(Stage stage) throws Exception;
  }

  private final long startedAt = System.nanoTime();
  private final PrintWriter record;
  private final List<Closeable> closeables = new CopyOnWriteArrayList<>();
  final Path root = Path.of("").toAbsolutePath();
  final Path temp;

  private Stage(Path folder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
    temp = Files.createTempDirectory("beampoint-case");
  }

  static void run(String folder, Script script) {
    int code = 2;
    try {
      Stage stage = new Stage(Path.of(folder));
      Runtime.getRuntime().addShutdownHook(new Thread(stage::close));
      thread("limit", () -> {
        Thread.sleep(MAX_RUN_MS);
        stage.say("the case ran for too long");
        stage.close();
        Runtime.getRuntime().halt(2);
      });
      try {
        stage.note("TROUBLE=" + (TROUBLE ? 1 : 0));
        code = script.holds(stage) ? 0 : 1;
        stage.note(code == 0 ? "RESULT the rule held" : "RESULT the rule was broken");
        System.out.println(code == 0 ? "held" : "broken");
      } catch (Throwable e) {
        stage.note("the case couldn't run: " + e);
        e.printStackTrace();
      }
      stage.close();
    } catch (IOException e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(code);
  }

  double now() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  void note(String text) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%10.1f  %s%n", now(), text);
    }
  }

  void say(String text) {
    note(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    for (int i = closeables.size() - 1; i >= 0; i--) {
      try {
        closeables.get(i).close();
      } catch (IOException e) {
        // ends with this process
      }
    }
    closeables.clear();
    record.flush();
    deleteTree(temp);
  }

  private static void deleteTree(Path path) {
    try (var paths = Files.walk(path)) {
      paths.sorted(java.util.Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
    } catch (IOException e) {
      // a temporary folder
    }
  }

  static Thread thread(String name, Body body) {
    Thread thread = new Thread(() -> {
      try {
        body.run();
      } catch (IOException | InterruptedException e) {
        // the peer has gone, or the case is over
      } catch (Exception e) {
        e.printStackTrace();
      }
    }, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Body {
    void run() throws Exception;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, HOST)) {
      return socket.getLocalPort();
    }
  }

  // ---------------------------------------------------------------- sockets

  /** One connection with line and byte reads. */
  static final class Wire implements Closeable {
    final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private final byte[] buffer = new byte[65536];
    private int from;
    private int to;

    Wire(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = socket.getInputStream();
      out = socket.getOutputStream();
    }

    static Wire connect(int port) throws IOException {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress(HOST, port), 5000);
      return new Wire(socket);
    }

    private int read() throws IOException {
      if (from == to) {
        from = 0;
        to = Math.max(0, in.read(buffer));
        if (to == 0) {
          return -1;
        }
      }
      return buffer[from++] & 0xff;
    }

    /** A line without its end, or null at the end of the connection. */
    String line() throws IOException {
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      for (int b = read(); b >= 0; b = read()) {
        if (b == '\n') {
          String line = text.toString(StandardCharsets.ISO_8859_1);
          return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        }
        text.write(b);
      }
      return null;
    }

    byte[] bytes(int count) throws IOException {
      byte[] bytes = new byte[count];
      for (int i = 0; i < count;) {
        if (from == to) {
          int b = read();
          if (b < 0) {
            throw new EOFException();
          }
          bytes[i++] = (byte) b;
        } else {
          int part = Math.min(count - i, to - from);
          System.arraycopy(buffer, from, bytes, i, part);
          from += part;
          i += part;
        }
      }
      return bytes;
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  interface Serve {
    void serve(Wire wire) throws Exception;
  }

  /** A server of one thread a connection; returns its port. */
  int server(String name, Serve serve) throws IOException {
    ServerSocket listener = new ServerSocket(0, 1024, HOST);
    closeables.add(listener);
    thread(name, () -> {
      while (true) {
        Socket socket = listener.accept();
        thread(name + "-connection", () -> {
          try (Wire wire = new Wire(socket)) {
            serve.serve(wire);
          }
        });
      }
    });
    return listener.getLocalPort();
  }

  // ---------------------------------------------------------------- discovery

  /** An entry of the list of cache nodes. */
  record Entry(String host, int port, String kind) {
    String json() {
      return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"" + kind
          + "\",\"block\":0,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}";
    }
  }

  static String list(List<Entry> entries) {
    StringBuilder text = new StringBuilder("{\"seq\":1,\"whole\":true,\"hosts\":[");
    for (int i = 0; i < entries.size(); i++) {
      text.append(i == 0 ? "" : ",").append(entries.get(i).json());
    }
    return text.append("]}").toString();
  }

  /** Discovery: answers a watch at once with the whole list, and sends an empty line every 2 s. */
  int discovery(List<Entry> entries) throws IOException {
    return server("discovery", wire -> {
      String request = wire.line();
      for (String line = request; line != null && !line.isEmpty(); line = wire.line()) {
        // the headers of the call
      }
      if (request == null) {
        return;
      }
      wire.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
      chunk(wire, list(entries) + "\n");
      while (request.contains("watch=1")) {
        Thread.sleep(2000);
        chunk(wire, "\n");
      }
      wire.write("0\r\n\r\n");
    });
  }

  private static void chunk(Wire wire, String text) throws IOException {
    wire.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  // ---------------------------------------------------------------- servers

  /** A command as a cache node or the origin has got it, whole. */
  record Work(boolean write, String key, String id, Map<String, String> extra, int length) {}

  interface Answer {
    /** Answers a command; the connection goes on unless it is closed. */
    void answer(Wire wire, Work work) throws Exception;
  }

  static Map<String, String> extra(String list) {
    Map<String, String> extra = new LinkedHashMap<>();
    for (String pair : list.split(",")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        extra.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return extra;
  }

  /** A cache node: begins a command when its last byte has come. */
  int cache(String name, Answer answer) throws IOException {
    return server(name, wire -> {
      for (String line = wire.line(); line != null; line = wire.line()) {
        String[] words = line.split(" ");
        if (words[0].equals("mn")) {
          wire.write("MN\r\n");
          continue;
        }
        boolean write = words[0].equals("ms");
        if (!write && !words[0].equals("mg") || words.length < 4) {
          wire.write("CLIENT_ERROR bad command\r\n");
          return;
        }
        String id = "";
        Map<String, String> extra = Map.of();
        for (String word : words) {
          id = word.startsWith("O") ? word.substring(1) : id;
          extra = word.startsWith("P") ? extra(word.substring(1)) : extra;
        }
        int length = write ? Integer.parseInt(words[2]) : 0;
        if (write) {
          wire.bytes(length + 2);
        }
        answer.answer(wire, new Work(write, words[1], id, extra, length));
      }
    });
  }

  /** The origin: begins a request when its last byte has come. */
  int origin(Answer answer) throws IOException {
    return server("origin", wire -> {
      for (String line = wire.line(); line != null; line = wire.line()) {
        String[] words = line.split(" ");
        String id = "";
        Map<String, String> extra = Map.of();
        int length = 0;
        for (String header = wire.line(); header != null && !header.isEmpty(); header = wire.line()) {
          String value = header.substring(header.indexOf(':') + 1).trim();
          String name = header.substring(0, header.indexOf(':')).toLowerCase(Locale.ROOT);
          switch (name) {
            case "req-id" -> id = value;
            case "req-extra" -> extra = extra(value);
            case "content-length" -> length = Integer.parseInt(value);
            default -> { }
          }
        }
        wire.bytes(length);
        if (words[1].equals("/alive")) {
          http(wire, 200, "alive");
        } else {
          answer.answer(wire, new Work(words[0].equals("PUT"), words[1].substring(1), id, extra, length));
        }
      }
    });
  }

  static void http(Wire wire, int status, String body) throws IOException {
    wire.write("HTTP/1.1 " + status + (status == 200 ? " OK" : " Error") + "\r\nContent-Length: "
        + body.length() + "\r\n\r\n" + body);
  }

  // ---------------------------------------------------------------- the proxy

  /** A class of requests in the settings. */
  record Lane(String name, String effect, String group, int windowMs, int aimMs, int deadlineMs) {
    String json() {
      return "{\"name\":\"" + name + "\",\"idempotency\":\"" + effect + "\",\"group\":\"" + group
          + "\",\"dedup-window-ms\":" + windowMs + ",\"target-ms\":" + aimMs + ",\"hard-limit-ms\":"
          + deadlineMs + ",\"points\":1.0,\"late-worth\":0.0,\"streamed\":false}";
    }
  }

  /** One process of the proxy. */
  final class Proxy implements Closeable {
    final Process process;
    final int port;
    final Path config;
    final Path log;

    Proxy(int port, Path config, Path log, Process process) {
      this.port = port;
      this.config = config;
      this.log = log;
      this.process = process;
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    @Override
    public void close() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
        note("the proxy's log:");
        for (String line : Files.readAllLines(log)) {
          note("  " + line);
        }
      } catch (IOException | InterruptedException e) {
        note("no log: " + e);
      }
    }
  }

  /** The configuration as JSON. */
  String config(int listen, int discovery, List<Entry> known, List<Lane> lanes) {
    StringBuilder classes = new StringBuilder();
    for (Lane lane : lanes) {
      classes.append(classes.length() == 0 ? "" : ",").append(lane.json());
    }
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + "\"known\":" + list(known) + ",\"settings\":{\"discovery\":\"automatic\","
        + "\"siblings\":3,\"zone\":0,\"localities\":[\"a\"],\"skus\":[\"m2\",\"origin\"],"
        + "\"family-info\":{\"mode\":\"aside\",\"origin-kind\":1},"
        + "\"policy-limits\":{\"max-attempts\":4,\"probes\":true,\"second-copies\":false,\"retry-after\":true,"
        + "\"max-retry-after-ms\":2000,\"connect-timeout-ms\":200,\"conn-idle-ms\":60000},"
        + "\"rules\":{\"drain-grace-ms\":1000,\"fall-multiple\":3.0,\"tip-after-ms\":2000,\"cold-from\":0.14,"
        + "\"cold-ms\":24000},\"prices\":{\"handshake\":0.02,\"probe\":0.01,\"cross-zone\":0.03},"
        + "\"lanes\":[" + classes + "],\"accounts\":[{\"name\":\"sabarmati-tools\",\"quota-per-s\":400}]}}";
  }

  void write(Path file, String text) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts `run` of the deploy file as the platform does, and waits until it answers `mn` with `MN`. */
  Proxy start(String name, int port, String config) throws IOException, InterruptedException {
    Path deploy = root.resolve("deploy/balancer.toml");
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(deploy));
    if (!run.find()) {
      throw new IOException("no run in the deploy file");
    }
    Path file = temp.resolve(name + ".json");
    write(file, config);
    Path tmpdir = Files.createDirectory(temp.resolve(name + "-tmp"));
    Path log = temp.resolve(name + ".log");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
        .redirectErrorStream(true).redirectOutput(log.toFile());
    builder.environment().put("PROXY_CONFIG", file.toString());
    builder.environment().put("PROXY_NAME", "n1");
    builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("TMPDIR", tmpdir.toString());
    builder.environment().put("PROXY_DISCOVERY", config.replaceFirst(".*?\"discovery\":\"([^\"]*)\".*", "$1"));
    builder.environment().remove("PROXY_OPS");
    Proxy proxy = new Proxy(port, file, log, builder.start());
    closeables.add(proxy);
    note("started proxy " + name + ", process " + proxy.process.pid()); // run.sh looks for this line
    record.flush();
    for (int i = 0; i < 300; i++) {
      if (!proxy.process.isAlive()) {
        throw new IOException("the proxy ended: " + Files.readString(log));
      }
      try (Wire wire = Wire.connect(port)) {
        wire.socket.setSoTimeout(1000);
        wire.write("mn\r\n");
        if ("MN".equals(wire.line())) {
          note(name + " is ready");
          return proxy;
        }
      } catch (IOException e) {
        // not yet
      }
      Thread.sleep(100);
    }
    throw new IOException("the proxy was not ready within 30 s");
  }
}

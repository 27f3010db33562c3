import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the record, proxies that run with the command of the deploy file, and small stand-ins
 * for cache nodes, the origin, discovery and clients. All addresses are loopback addresses.
 */
final class Rig implements Closeable {

  /** The exit codes of a case. */
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private static final int LOG_LINES = 40; // from each end of a proxy's log

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  final Path root = Path.of("").toAbsolutePath();
  final Path temporary;
  private final BufferedWriter record;
  private boolean closed;
  private final long startedAt = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();
  private final List<Path> logs = new ArrayList<>();

  Rig(Path folder) throws IOException {
    record = Files.newBufferedWriter(folder.resolve("record.txt"));
    temporary = Files.createTempDirectory("case");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
  }

  /** A case. */
  interface Case {
    int run(Rig rig, boolean trouble) throws Exception;
  }

  /** Runs a case, ends all that it started and exits with its result. */
  static void main(String[] args, Case body) {
    int result = NOT_RUN;
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(args[0]))) {
      rig.note("disruption " + (trouble ? "on" : "off"));
      Thread limit = new Thread(() -> {
        try {
          Thread.sleep(115_000);
          System.err.println("the case took too long");
          rig.processes.forEach(Process::destroyForcibly);
          Runtime.getRuntime().halt(NOT_RUN);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      limit.setDaemon(true);
      limit.start();
      result = body.run(rig, trouble);
      rig.note("result " + result + (result == BROKEN ? ": the rule was broken"
          : result == HELD ? ": the rule held" : ": the case could not run"));
    } catch (Throwable e) { // also an error must not end the case with the code of a broken rule
      result = NOT_RUN;
      e.printStackTrace();
    }
    System.exit(result);
  }

  /** Milliseconds since the start of the case. */
  double now() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  /** Adds a line to the record. */
  synchronized void note(String text) {
    try {
      if (!closed) {
        record.write(String.format("%10.1f  %s%n", now(), text));
        record.flush();
      }
    } catch (IOException e) {
      System.err.println("record: " + e);
    }
  }

  /** Adds a line to the record and to standard output. */
  void say(String text) {
    note(text);
    System.out.println(text);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  // ---- proxies

  /** Starts a proxy with the run command of the deploy file. */
  Process startProxy(String name, Path config, int listen, int discovery) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/balancer.toml");
    }
    Path log = temporary.resolve(name + "-" + processes.size() + ".log");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
        .redirectErrorStream(true).redirectOutput(log.toFile());
    Map<String, String> environment = builder.environment();
    environment.put("PROXY_NAME", name);
    environment.put("PROXY_LISTEN", "127.0.0.1:" + listen);
    environment.put("PROXY_DISCOVERY", "127.0.0.1:" + discovery);
    environment.put("PROXY_CONFIG", config.toString());
    environment.put("TMPDIR", Files.createDirectory(temporary.resolve(name)).toString());
    environment.remove("PROXY_OPS");
    Process process = builder.start();
    processes.add(process);
    logs.add(log);
    note("started proxy " + name + ", process " + process.pid());
    return process;
  }

  /** Waits until a proxy answers mn with MN. */
  void awaitReady(int port) throws Exception {
    for (double until = now() + 30_000; now() < until; Thread.sleep(50)) {
      try (Client client = new Client(port)) {
        client.send("mn\r\n");
        if (client.line(1000).equals("MN")) {
          note("the proxy at port " + port + " is ready");
          return;
        }
      } catch (IOException e) {
        // not yet
      }
    }
    throw new IOException("the proxy is not ready after 30 s");
  }

  /** A signal to a process that this case started. */
  void signal(String name, Process process) throws Exception {
    note("signal " + name + " to process " + process.pid());
    new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
  }

  // ---- configuration

  /** One entry of a list of hosts. */
  static String host(String id, int port, String kind, String health) {
    return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"" + kind
        + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
  }

  static String list(long seq, boolean whole, List<String> hosts) {
    return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
  }

  /** Writes a configuration; {@code settings} is the object of that name. */
  Path config(String name, int listen, int discovery, String known, String settings) throws IOException {
    Path file = temporary.resolve(name + ".json");
    Files.writeString(file, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen
        + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
        + ",\"settings\":" + settings + "}");
    return file;
  }

  /** The settings of a small deployment. */
  static String settings() {
    return "{\"discovery\":\"automatic\",\"siblings\":3,\"zone\":0,\"localities\":[\"a\"],"
        + "\"skus\":[\"m2\",\"origin\"],\"family-info\":{\"mode\":\"aside\",\"origin-kind\":1},"
        + "\"policy-limits\":{\"max-attempts\":4,\"probes\":false,\"retry-after\":true,"
        + "\"max-retry-after-ms\":2000,\"connect-timeout-ms\":200,\"conn-idle-ms\":60000},"
        + "\"rules\":{\"drain-grace-ms\":1000},\"lanes\":["
        + "{\"name\":\"page-read\",\"idempotency\":\"safe\",\"target-ms\":500,\"hard-limit-ms\":1200},"
        + "{\"name\":\"search-read\",\"idempotency\":\"safe\",\"target-ms\":800,\"hard-limit-ms\":2500},"
        + "{\"name\":\"publish-version\",\"idempotency\":\"unsafe\",\"target-ms\":1200,"
        + "\"hard-limit-ms\":5000},"
        + "{\"name\":\"feedback-post\",\"idempotency\":\"keyed\",\"group\":\"all\","
        + "\"dedup-window-ms\":2000,\"target-ms\":1200,\"hard-limit-ms\":3000}],"
        + "\"accounts\":[{\"name\":\"acme\",\"quota-per-s\":300}]}";
  }

  // ---- peers

  /** What a connection has received, byte by byte. */
  static final class Input {
    private final InputStream in;

    Input(InputStream in) {
      this.in = in;
    }

    /** The next line without its end; null at the end of the connection. */
    String line() throws IOException {
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      for (int b = in.read(); b >= 0; b = in.read()) {
        if (b == '\n') {
          String line = text.toString(StandardCharsets.ISO_8859_1);
          return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        }
        text.write(b);
      }
      return null;
    }

    byte[] bytes(int count) throws IOException {
      byte[] bytes = in.readNBytes(count);
      if (bytes.length < count) {
        throw new EOFException();
      }
      return bytes;
    }
  }

  /** One request at a stand-in for a server. */
  static final class Arrival {
    final double at;
    final String key;
    final String id;
    final String list;
    final byte[] value;
    final Socket socket;
    final OutputStream out;

    Arrival(double at, String key, String id, String list, byte[] value, Socket socket) throws IOException {
      this.at = at;
      this.key = key;
      this.id = id;
      this.list = list;
      this.value = value;
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    /** A value of the list, or an empty text. */
    String parameter(String name) {
      return Stream.of(list.split(",")).filter(p -> p.startsWith(name + "=")).findFirst()
          .map(p -> p.substring(name.length() + 1)).orElse("");
    }

    void answer(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** An answer of the origin. */
    void http(int status, String body) throws IOException {
      answer("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** An answer of a cache node with a value. */
    void value(String value) throws IOException {
      answer("VA " + value.length() + " O" + id + "\r\n" + value + "\r\n");
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Handles the requests of one server, each connection on a thread of its own and in order. */
  interface Server {
    void handle(Arrival arrival) throws Exception;
  }

  private interface Connection {
    void serve(Socket socket) throws Exception;
  }

  /** Listens on a free port; returns it. */
  private int listen(Connection connection) throws IOException {
    ServerSocket listener = new ServerSocket(0, 1024, LOOPBACK);
    daemon(() -> {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> {
          try (socket) {
            connection.serve(socket);
          } catch (IOException e) {
            // the peer has ended the connection
          }
        });
      }
    });
    return listener.getLocalPort();
  }

  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception e) {
        e.printStackTrace();
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A cache node, which speaks the meta commands; probes are answered MN. */
  int cacheNode(Server server) throws IOException {
    return listen(socket -> {
      Input in = new Input(socket.getInputStream());
      for (String line = in.line(); line != null; line = in.line()) {
        String[] words = line.split(" ");
        boolean write = words[0].equals("ms");
        if (!write && !words[0].equals("mg")) {
          socket.getOutputStream().write((words[0].equals("mn") ? "MN\r\n" : "ERROR\r\n").getBytes());
          continue;
        }
        byte[] value = write ? in.bytes(Integer.parseInt(words[2])) : null;
        if (write) {
          in.bytes(2);
        }
        server.handle(new Arrival(now(), words[1], flag(words, 'O'), flag(words, 'P'), value, socket));
      }
    });
  }

  private static String flag(String[] words, char name) {
    return Stream.of(words).skip(2).filter(word -> word.charAt(0) == name).findFirst().orElse("-").substring(1);
  }

  /** The origin, which speaks HTTP/1.1; probes are answered 200. */
  int origin(Server server) throws IOException {
    return listen(socket -> {
      Input in = new Input(socket.getInputStream());
      for (String line = in.line(); line != null; line = in.line()) {
        Map<String, String> headers = headers(in);
        byte[] body = in.bytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String path = line.split(" ")[1];
        Arrival arrival = new Arrival(now(), path.substring(1), headers.getOrDefault("req-id", ""),
            headers.getOrDefault("req-extra", ""), line.startsWith("PUT") ? body : null, socket);
        if (path.equals("/alive") || path.equals("/metrics/load")) {
          arrival.http(200, "ok");
        } else {
          server.handle(arrival);
        }
      }
    });
  }

  static Map<String, String> headers(Input in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = in.line(); line != null && !line.isEmpty(); line = in.line()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  /** Discovery: answers each watch with the whole list, which does not change, and an empty line every 2 s. */
  final class Discovery {
    final int port;
    private final String whole;

    Discovery(String whole) throws IOException {
      this.whole = whole;
      this.port = listen(this::serve);
    }

    private void serve(Socket socket) throws Exception {
      Input in = new Input(socket.getInputStream());
      String line = in.line();
      headers(in);
      note("discovery: " + line);
      OutputStream out = socket.getOutputStream();
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      chunk(out, whole + "\n");
      while (true) {
        Thread.sleep(2000);
        chunk(out, "\n");
      }
    }

    private void chunk(OutputStream out, String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream message = new ByteArrayOutputStream();
      message.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
      message.write(bytes);
      message.write("\r\n".getBytes());
      out.write(message.toByteArray());
      out.flush();
    }
  }

  /** One connection of a client. */
  static final class Client implements Closeable {
    final Socket socket;
    private final Input in;

    Client(int port) throws IOException {
      socket = new Socket();
      socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
      socket.setTcpNoDelay(true);
      in = new Input(socket.getInputStream());
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** The next line; throws at the end of the connection or after so many ms. */
    String line(int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs);
      String line = in.line();
      if (line == null) {
        throw new EOFException("the connection was closed");
      }
      return line;
    }

    /** The answer to one request: its line, with the value behind it if there is one. */
    String answer(int timeoutMs) throws IOException {
      String line = line(timeoutMs);
      if (!line.startsWith("VA ")) {
        return line;
      }
      byte[] value = in.bytes(Integer.parseInt(line.split(" ")[1]));
      in.bytes(2);
      return line + " " + new String(value, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (Path log : logs) {
      note("log of " + log.getFileName() + ":");
      List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
      lines.stream().limit(LOG_LINES).forEach(this::note);
      if (lines.size() > LOG_LINES) {
        note("... " + lines.size() + " lines in all, the last of them:");
        lines.subList(Math.max(LOG_LINES, lines.size() - LOG_LINES), lines.size()).forEach(this::note);
      }
    }
    synchronized (this) {
      closed = true;
      record.close();
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}

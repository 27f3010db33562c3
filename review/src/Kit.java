import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
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
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Stand-ins for the servers, the clients and the platform of one proxy, on loopback addresses and the real
 * clock. They follow the operators' pages: memcache meta commands for clients and cache nodes, HTTP/1.1 for
 * the origin and discovery.
 */
final class Kit {

  private Kit() {}

  /** Thrown if a case can't be run, whatever the proxy does. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRun(String why) {
      super(why);
    }
  }

  private static final long START = System.nanoTime();

  /** Ms since the start of the case. */
  static double now() {
    return (System.nanoTime() - START) / 1e6;
  }

  static void sleep(double ms) {
    try {
      TimeUnit.MICROSECONDS.sleep((long) Math.max(0, ms * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void sleepUntil(double time) {
    sleep(time - now());
  }

  /** Starts a daemon thread; an exception of the task only ends the thread. */
  static Thread thread(String name, Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (Exception e) {
        // the peer has gone, or the case ends
      }
    }, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Work of a thread. */
  interface Task {
    void run() throws Exception;
  }

  /** The file record.txt: what was sent, answered and run, a line each, with ms since the start. */
  static final class Log implements AutoCloseable {
    private final PrintWriter out;

    Log(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... arguments) {
      out.printf(Locale.ROOT, "%9.1f  ", now());
      out.printf(Locale.ROOT, format, arguments);
      out.println();
      out.flush();
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** Reads a line without its end; null at the end of the input. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      bytes.write(b);
    }
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] exactly(InputStream in, int count) throws IOException {
    byte[] read = in.readNBytes(count);
    if (read.length < count) {
      throw new EOFException();
    }
    return read;
  }

  /** The names and values of a parameter list as in c=read,t=acme,d=480. */
  static Map<String, String> parameters(String list) {
    Map<String, String> parameters = new HashMap<>();
    for (String pair : list.split(",")) {
      int equals = pair.indexOf('=');
      parameters.put(equals < 0 ? pair : pair.substring(0, equals), pair.substring(equals + 1));
    }
    return parameters;
  }

  /** Listens on a loopback address and serves each connection on a thread. */
  static class Server {
    private final ServerSocket socket;

    /** Serves one connection. */
    interface Handler {
      void serve(Socket socket) throws Exception;
    }

    /** Listens with this receive buffer; 0 for the system's. */
    Server(int receiveBuffer, Handler handler) throws IOException {
      socket = new ServerSocket();
      if (receiveBuffer > 0) {
        socket.setReceiveBufferSize(receiveBuffer);
      }
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
      thread("server", () -> {
        while (true) {
          Socket accepted = socket.accept();
          accepted.setTcpNoDelay(true);
          thread("connection", () -> {
            try (accepted) {
              handler.serve(accepted);
            }
          });
        }
      });
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  /** Discovery: sends each watch the whole list, then an empty line every second. Nothing changes. */
  static Server discovery(String list) throws IOException {
    return new Server(0, socket -> {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String head = line(in); head != null && !head.isEmpty(); head = line(in)) {
        // the request's head
      }
      OutputStream out = socket.getOutputStream();
      out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n"));
      String text = list + "\n";
      out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      while (true) {
        sleep(1000);
        out.write(bytes("1\r\n\n\r\n"));
      }
    });
  }

  /** What a cache node answers to a read: the value, or null for a miss. */
  interface Values {
    byte[] get(String key) throws Exception;
  }

  /** A cache node that answers each read at once. */
  static Server cache(Values values) throws IOException {
    return new Server(0, socket -> {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 128 * 1024);
      for (String command = line(in); command != null; command = line(in)) {
        String[] words = command.split(" ");
        if (words[0].equals("mn")) {
          out.write(bytes("MN\r\n"));
        } else if (words[0].equals("mg")) {
          byte[] value = values.get(words[1]);
          if (value == null) {
            out.write(bytes("EN " + words[3] + "\r\n"));
          } else {
            out.write(bytes("VA " + value.length + " " + words[3] + "\r\n"));
            out.write(value);
            out.write(bytes("\r\n"));
          }
        } else {
          out.write(bytes("CLIENT_ERROR not a read\r\n"));
        }
        out.flush();
      }
    });
  }

  /** The head of a request to the origin. */
  record Head(String method, String key, String id, Map<String, String> parameters, int length) {

    /** Reads a head; null at the end of the connection. */
    static Head read(InputStream in) throws IOException {
      String first = line(in);
      if (first == null) {
        return null;
      }
      String[] words = first.split(" ");
      Map<String, String> headers = new HashMap<>();
      for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
        int colon = header.indexOf(':');
        headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
      }
      return new Head(words[0], words[1].substring(1), headers.get("req-id"),
          Kit.parameters(headers.getOrDefault("req-extra", "")),
          Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }
  }

  static byte[] httpAnswer(int status, byte[] body) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(bytes("HTTP/1.1 " + status + (status == 200 ? " OK" : " Error") + "\r\nContent-Length: "
        + body.length + "\r\n\r\n"));
    out.write(body);
    return out.toByteArray();
  }

  /** One entry of a list of discovery. */
  static String host(String name, String address, String kind) {
    return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"a\",\"class\":\"" + kind
        + "\",\"block\":0,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}";
  }

  static String list(List<String> hosts) {
    return "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
  }

  /** One request class of the settings. */
  static String lane(String name, String idempotency, int windowMs, int targetMs, int deadlineMs) {
    return "{\"name\":\"" + name + "\",\"idempotency\":\"" + idempotency + "\",\"group\":\"all\","
        + "\"dedup-window-ms\":" + windowMs + ",\"target-ms\":" + targetMs + ",\"hard-limit-ms\":"
        + deadlineMs + ",\"points\":1,\"late-worth\":0,\"streamed\":false}";
  }

  /** The settings of a small deployment, with the figures of ahmedabad-docs and these request classes. */
  static String settings(List<String> lanes) {
    return "{\"discovery\":\"automatic\",\"siblings\":1,\"zone\":0,\"localities\":[\"a\"],"
        + "\"skus\":[\"m2\",\"origin\"],\"family\":\"cache\","
        + "\"family-info\":{\"mode\":\"aside\",\"origin-kind\":1},\"over-share-worth\":0.05,"
        + "\"weight-source\":\"off\",\"worth-by\":\"request\","
        + "\"policy-limits\":{\"max-attempts\":4,\"probes\":true,\"retry-after\":true,"
        + "\"max-retry-after-ms\":2000,\"connect-timeout-ms\":200,\"conn-idle-ms\":60000,"
        + "\"cancelling\":true,\"second-copies\":false,\"streams-per-conn\":32,\"max-open\":20000},"
        + "\"rules\":{\"answer-slack-ms\":5,\"drain-grace-ms\":1000,\"fall-multiple\":3,"
        + "\"tip-after-ms\":2000,\"cold-from\":0.14,\"cold-ms\":24000,\"ask-every-ms\":10000},"
        + "\"prices\":{\"connection\":0,\"handshake\":0.02,\"probe\":0.01,\"cross-zone\":0.03},"
        + "\"lanes\":[" + String.join(",", lanes) + "],"
        + "\"accounts\":[{\"name\":\"acme\",\"quota-per-s\":2000}]}";
  }

  /** The classes of ahmedabad-docs: name, effect, window for repeats, aim and deadline. */
  static List<String> docsLanes() {
    return List.of(lane("page-read", "safe", 2000, 500, 1200), lane("search-read", "safe", 2000, 800, 2500),
        lane("publish-version", "unsafe", 2000, 1200, 5000),
        lane("feedback-post", "keyed", 2000, 1200, 3000));
  }

  /** One proxy, started with the run command of the deploy file. */
  static final class Proxy implements AutoCloseable {
    final int port;
    private final Process process;
    private final Path folder;
    private final Path log;

    /** Starts a proxy and waits until it takes requests. */
    Proxy(Path repository, String list, String discovery, String settings, int memoryMb)
        throws IOException, CannotRun {
      String command = runCommand(repository);
      port = freePort();
      folder = Files.createTempDirectory("review-");
      Path temporary = Files.createDirectory(folder.resolve("tmp"));
      Path config = folder.resolve("config.json");
      log = folder.resolve("proxy.log");
      Files.writeString(config, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
          + discovery + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\",\"limits\":{\"cores\":1.0,"
          + "\"memory_mb\":" + memoryMb + ",\"sockets\":1024},\"known\":" + list + ",\"settings\":" + settings
          + "}");
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
          .directory(repository.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
      builder.environment().putAll(Map.of("PROXY_NAME", "n1", "PROXY_LISTEN", "127.0.0.1:" + port,
          "PROXY_DISCOVERY", discovery, "PROXY_CONFIG", config.toString(), "TMPDIR", temporary.toString()));
      builder.environment().remove("PROXY_OPS");
      process = builder.start();
      Files.writeString(Path.of(System.getProperty("java.io.tmpdir"), "proxy.pid"), process.pid() + "\n");
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      double giveUpAt = now() + 30_000;
      while (!isReady()) {
        if (!process.isAlive() || now() > giveUpAt) {
          close();
          throw new CannotRun("the proxy was not ready within 30 s");
        }
        sleep(50);
      }
    }

    private static String runCommand(Path repository) throws IOException, CannotRun {
      for (String line : Files.readAllLines(repository.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          return line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
      }
      throw new CannotRun("deploy/balancer.toml has no run command");
    }

    boolean isReady() {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(1000);
        socket.getOutputStream().write(bytes("mn\r\n"));
        return "MN".equals(line(socket.getInputStream()));
      } catch (IOException e) {
        return false;
      }
    }

    /** Its resident memory, as the system gives it. */
    String memory() {
      try {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmRSS:")).findFirst().orElse("unknown").replaceAll("\\s+", " ");
      } catch (IOException e) {
        return "unknown";
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    long pid() {
      return process.pid();
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** The counters, as the command stats gives them; empty if there is no answer within 2 s. */
    Map<String, Long> counters() {
      Map<String, Long> counters = new LinkedHashMap<>();
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(2000);
        socket.getOutputStream().write(bytes("stats\r\n"));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String stat = line(in); stat != null && stat.startsWith("STAT "); stat = line(in)) {
          String[] words = stat.split(" ");
          counters.put(words[1], Long.parseLong(words[2]));
        }
      } catch (IOException | NumberFormatException e) {
        counters.clear();
      }
      return counters;
    }

    /** The last lines of its log. */
    List<String> logTail(int lines) throws IOException {
      List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
      return all.subList(Math.max(0, all.size() - lines), all.size());
    }

    /** How many lines of its log have this text. */
    long logCount(String text) throws IOException {
      return logTail(Integer.MAX_VALUE).stream().filter(line -> line.contains(text)).count();
    }

    @Override
    public void close() throws IOException {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  /** One connection of a client. */
  static final class Client implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    /** Connects with this receive buffer; 0 for the system's. */
    Client(int port, int receiveBuffer) throws IOException {
      socket = new Socket();
      if (receiveBuffer > 0) {
        socket.setReceiveBufferSize(receiveBuffer);
      }
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(byte[] data) throws IOException {
      out.write(data);
    }

    /** An answer: its first line and, for VA, the value; null if the connection ended instead. */
    record Answer(String line, byte[] value) {}

    /** Reads one answer; throws a SocketTimeoutException if none comes within a time. */
    Answer answer(int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs);
      String first = line(in);
      if (first == null) {
        return null;
      }
      if (!first.startsWith("VA ")) {
        return new Answer(first, null);
      }
      byte[] value = exactly(in, Integer.parseInt(first.split(" ")[1]));
      exactly(in, 2);
      return new Answer(first, value);
    }

    /** Reads what comes in pieces of so many bytes, with a wait before each, until the connection ends. */
    void readSlowly(int pieceBytes, double waitMs) throws IOException {
      byte[] piece = new byte[pieceBytes];
      do {
        sleep(waitMs);
      } while (in.readNBytes(piece, 0, pieceBytes) > 0);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static byte[] read(String key, String id, String requestClass, int waitMs) {
    return bytes("mg " + key + " v O" + id + " Pc=" + requestClass + ",t=acme,d=" + waitMs + "\r\n");
  }

  /** A write; with an idempotency key unless that is null. */
  static byte[] write(String key, String id, String requestClass, int waitMs, String idempotencyKey,
      byte[] value) {
    byte[] head = bytes("ms " + key + " " + value.length + " O" + id + " Pc=" + requestClass + ",t=acme,d="
        + waitMs + (idempotencyKey == null ? "" : ",k=" + idempotencyKey) + "\r\n");
    byte[] command = new byte[head.length + value.length + 2];
    System.arraycopy(head, 0, command, 0, head.length);
    System.arraycopy(value, 0, command, head.length, value.length);
    command[command.length - 2] = '\r';
    command[command.length - 1] = '\n';
    return command;
  }
}

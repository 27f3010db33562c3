package beampoint.benchmark;

import com.google.gson.JsonObject;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A {@code serve} process, started with the command of {@code deploy/balancer.toml}. */
final class ServeProcess implements AutoCloseable {

  static final String HOST = "127.0.0.1";

  /** The operators' start command. */
  static final List<String> COMMAND = List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
      "-XX:-UsePerfData", "-Xshare:auto", "-XX:SharedArchiveFile=target/beampoint.jsa", "-Xms52m", "-Xmx52m",
      "-Xss256k", "-XX:MaxDirectMemorySize=16m", "-XX:MaxMetaspaceSize=48m", "-XX:ReservedCodeCacheSize=24m",
      "-XX:CICompilerCount=1", "-Djava.net.preferIPv4Stack=true", "-jar", "target/beampoint.jar", "serve");

  private static final int MIN_PORT = 12_000; // below the system's ephemeral ports
  private static final int MAX_PORT = 32_000;
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final long POLL_INTERVAL_MS = 5;
  private static final SplittableRandom PORTS = new SplittableRandom();

  private final Process process;
  private final int port;

  private ServeProcess(Process process, int port) {
    this.process = process;
    this.port = port;
  }

  /** Starts a process with a configuration, to which its name and address are added. */
  static ServeProcess start(Path directory, String name, JsonObject config) throws IOException {
    int port = freePort();
    config.addProperty("name", name);
    config.addProperty("listen", HOST + ":" + port);
    Path file = Files.writeString(directory.resolve(name + ".json"), config.toString());
    List<String> command = new ArrayList<>(COMMAND);
    command.addAll(List.of("--config", file.toString()));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(directory.resolve(name + ".log").toFile());
    builder.environment().remove("PROXY_OPS");
    builder.environment().put("TMPDIR", directory.toString());
    ServeProcess started = new ServeProcess(builder.start(), port);
    Runtime.getRuntime().addShutdownHook(new Thread(started.process::destroyForcibly));
    return started;
  }

  /** A port that is currently free. */
  static int freePort() throws IOException {
    while (true) {
      int port = PORTS.nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
        return free.getLocalPort();
      } catch (IOException e) {
        continue; // the port is in use
      }
    }
  }

  long pid() {
    return process.pid();
  }

  /** Opens a client connection to the process. */
  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getByName(HOST), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Polls until the process answers that it is ready. */
  void awaitReady(long timeoutMs) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (System.nanoTime() < end && process.isAlive()) {
      try (Socket socket = connect()) {
        socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
        if ("MN".equals(line(new BufferedInputStream(socket.getInputStream())))) {
          return;
        }
      } catch (IOException e) {
        Thread.onSpinWait(); // the process does not listen yet
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    throw new IOException("proxy not ready within " + timeoutMs + " ms or it has exited, pid " + pid());
  }

  /** The counters of the process by name. */
  Map<String, Long> stats() throws IOException {
    Map<String, Long> stats = new TreeMap<>();
    try (Socket socket = connect()) {
      socket.getOutputStream().write("stats\r\n".getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String line = line(in); line != null && !line.equals("END"); line = line(in)) {
        String[] words = line.split(" ");
        if (words.length == 3 && words[2].matches("\\d+")) {
          stats.put(words[1], Long.parseLong(words[2]));
        }
      }
    }
    return stats;
  }

  /** The next line without its LF or CRLF, or null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
      }
      line.append((char) next);
    }
    return null;
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

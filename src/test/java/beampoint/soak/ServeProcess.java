package beampoint.soak;

import beampoint.Stub;
import beampoint.TestProcess;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A real {@code serve} process, started with the operators' command, and its observed resources and log. */
final class ServeProcess {

  private static final double POLL_INTERVAL_MS = 10;
  private static final int READ_TIMEOUT_MS = 1000;
  private static final double SAMPLE_INTERVAL_MS = 50;
  private static final double MIN_STALL_MS = 5; // shorter waits for a processor are normal
  // Thread names as the kernel has them, cut off at 15 characters.
  private static final Set<String> OWN_THREADS = Set.of("java", "configuration", "decisions Selec");

  private final Process process;
  private final Path log;
  private final RunClock clock;
  private final double startedAt;
  private volatile int maxDescriptors;
  private volatile double maxMemoryMb;
  private volatile boolean exitRequested;

  private ServeProcess(Process process, Path log, RunClock clock) {
    this.process = process;
    this.log = log;
    this.clock = clock;
    this.startedAt = clock.now();
    Thread thread = new Thread(this::sampleResources, "soak-sampler");
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts the command with this configuration; its output goes to the log. */
  static ServeProcess start(List<String> command, Path config, Path log, Path temporary, RunClock clock)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().put("PROXY_CONFIG", config.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.environment().remove("PROXY_OPS");
    return new ServeProcess(builder.start(), log, clock);
  }

  private void sampleResources() {
    double sampledAt = clock.now();
    Map<String, Double> waited = runQueueWaitMs();
    while (process.isAlive()) {
      String[] open = new File("/proc/" + process.pid() + "/fd").list();
      maxDescriptors = Math.max(maxDescriptors, open == null ? 0 : open.length);
      maxMemoryMb = Math.max(maxMemoryMb, memoryMb());
      RunClock.sleep(SAMPLE_INTERVAL_MS);
      double now = clock.now();
      Map<String, Double> waitedNow = runQueueWaitMs();
      recordStall(waited, waitedNow, sampledAt, now);
      waited = waitedNow;
      sampledAt = now;
    }
  }

  /** Records the longest time for which one of the process's own threads waited for a processor. */
  private void recordStall(Map<String, Double> before, Map<String, Double> after, double from, double to) {
    double longest = 0;
    for (Map.Entry<String, Double> thread : after.entrySet()) {
      longest = Math.max(longest, thread.getValue() - before.getOrDefault(thread.getKey(), 0.0));
    }
    if (longest > MIN_STALL_MS) {
      clock.machineStalls().add(log.getFileName().toString(), from, to, longest);
    }
  }

  /** How long each of its own threads has waited for a processor since its start, in ms by thread id. */
  private Map<String, Double> runQueueWaitMs() {
    Map<String, Double> waited = new HashMap<>();
    File[] threads = new File("/proc/" + process.pid() + "/task").listFiles();
    for (File thread : threads == null ? new File[0] : threads) {
      try {
        if (OWN_THREADS.contains(Files.readString(thread.toPath().resolve("comm")).strip())) {
          String[] fields = Files.readString(thread.toPath().resolve("schedstat")).split(" ");
          waited.put(thread.getName(), Double.parseDouble(fields[1]) / 1e6); // from ns
        }
      } catch (IOException e) {
        // the thread has ended
      }
    }
    return waited;
  }

  private double memoryMb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
        }
      }
    } catch (IOException e) {
      return 0; // the process has ended
    }
    return 0;
  }

  /** Polls until the process answers that it is ready; the ms since its start, or NaN after the timeout. */
  double awaitReady(int port, double timeoutMs) {
    while (process.isAlive() && clock.now() < startedAt + timeoutMs) {
      try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
        if ("MN".equals(Stub.readLine(socket.getInputStream()))) {
          return clock.now() - startedAt;
        }
      } catch (IOException e) {
        // it does not listen yet
      }
      RunClock.sleep(POLL_INTERVAL_MS);
    }
    return Double.NaN;
  }

  /** Polls the operations address until the process accepts clients; the ms since its start, or NaN. */
  double awaitAcceptsClients(int opsPort, double timeoutMs) {
    while (process.isAlive() && clock.now() < startedAt + timeoutMs) {
      try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), opsPort)) {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.getOutputStream()
            .write("GET /_ready HTTP/1.1\r\nHost: ops\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        String line = Stub.readLine(socket.getInputStream());
        if (line != null && line.startsWith("HTTP/1.1 2")) {
          return clock.now() - startedAt;
        }
      } catch (IOException e) {
        // it does not listen yet
      }
      RunClock.sleep(POLL_INTERVAL_MS);
    }
    return Double.NaN;
  }

  void signal(String name) throws IOException {
    exitRequested |= name.equals("TERM") || name.equals("KILL");
    try {
      TestProcess.signal(process, name); // the process may have exited
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the exit until a time of the run; true if the process has exited. */
  boolean awaitExit(double until) {
    try {
      return process.waitFor((long) Math.max(0, until - clock.now()), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Kills the process. */
  void destroy() {
    exitRequested = true;
    process.destroyForcibly();
  }

  /** True if the process has exited without a SIGTERM or SIGKILL from the harness. */
  boolean exitedUnexpectedly() {
    return !process.isAlive() && !exitRequested;
  }

  double startedAt() {
    return startedAt;
  }

  int exitCode() {
    return process.exitValue();
  }

  int maxDescriptors() {
    return maxDescriptors;
  }

  double maxMemoryMb() {
    return maxMemoryMb;
  }

  String name() {
    return log.getFileName().toString();
  }

  /** True if the process has logged anything, which shows that its own code has run. */
  boolean hasLogged() throws IOException {
    return Files.size(log) > 0;
  }

  /** The counters of the last log line; empty if there is no such line. */
  Map<String, Long> counters() throws IOException {
    Map<String, Long> counters = new HashMap<>();
    for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
      int at = line.indexOf(" ends: ");
      if (at >= 0) {
        counters.clear();
        for (String pair : line.substring(at + " ends: ".length()).split(" ")) {
          int separator = pair.indexOf('=');
          counters.put(pair.substring(0, separator), Long.parseLong(pair.substring(separator + 1)));
        }
      }
    }
    return counters;
  }
}

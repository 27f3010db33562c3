package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.TestProcess;
import beampoint.cli.Main;
import beampoint.emulator.ReservedPort;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A real proxy process with the product's decision module, among scripted peers on loopback. */
final class ProcessFixture implements AutoCloseable {

  private static final long POLL_INTERVAL_MS = 10;

  final Process process;
  final int port;
  private final Stub discovery = ProxyFixture.unchangedDiscovery();
  private final ReservedPort reservedPort = new ReservedPort();
  private final Path log;

  /**
   * Starts a process and waits until it is ready.
   *
   * @param directory where its files go
   * @param settings the settings in JSON
   * @param hosts the entries of the host list in JSON
   */
  ProcessFixture(Path directory, String settings, List<String> hosts, String... flags) throws Exception {
    port = reservedPort.number();
    log = directory.resolve("log");
    Path config = directory.resolve("config.json");
    Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
        + "\",\"seed\":\"1\",\"discovery\":\"" + discovery.address() + "\",\"limits\":{\"sockets\":1024},"
        + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]},\"settings\":"
        + settings + "}");
    ProcessBuilder builder =
        TestProcess.java(Main.class, List.of(flags), "serve", "--config", config.toString());
    builder.environment().put("TMPDIR", directory.toString());
    process = builder.redirectOutput(log.toFile()).start();
    while (!isReady()) {
      assertTrue(process.isAlive(), "the process ended before it was ready");
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }
  }

  private boolean isReady() {
    try (Client client = new Client(port)) {
      return "MN".equals(client.request("mn\r\n"));
    } catch (IOException e) {
      return false; // the process does not listen yet
    }
  }

  /** Sends a signal, named without "SIG". */
  void signal(String name) throws Exception {
    assertTrue(TestProcess.signal(process, name), "the process runs");
  }

  /** What the process has logged so far. */
  String logText() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      return "no log: " + e.getMessage();
    }
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    reservedPort.close();
    discovery.close();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

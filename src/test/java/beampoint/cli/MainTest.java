package beampoint.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.TestProcess;
import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Exit codes of the command line, and start, reload and end of a process that serves. */
@Timeout(30)
class MainTest {

  private static final String SIGHUP_IGNORED = "SIGHUP is ignored";

  private final StringWriter errors = new StringWriter();

  private int run(String... args) {
    return new CommandLine(new Main()).setErr(new PrintWriter(errors, true)).execute(args);
  }

  @Test
  void missingCommandPrintsTheUsageAndExitsWithTwo() {
    assertEquals(2, run());
    assertTrue(errors.toString().contains("Usage: beampoint"), errors.toString());
  }

  @Test
  void unknownCommandOrOptionExitsWithTwo() {
    assertEquals(2, run("dril"));
    assertEquals(2, run("drill", "--fast"));
  }

  @Test
  void invalidConfigurationExitsWithTwo(@TempDir Path dir) throws Exception {
    assertEquals(2, run("serve", "--config", dir.resolve("none.json").toString()));
    Path bad = Files.writeString(dir.resolve("bad.json"), "{\"name\":\"n0\"}");
    assertEquals(2, run("serve", "--config", bad.toString()));
  }

  /** The exit code after a SIGTERM is 0; any other would make a planned restart count as a crash. */
  @Test
  void sigtermEndsTheProcessGracefully(@TempDir Path dir) throws Exception {
    Process process = serve(writeConfig(dir, Stub.nobody()));
    try (BufferedReader log = process.inputReader()) {
      String line = log.readLine();
      while (!line.contains("n0 listens on")) { // a failed call to discovery may be logged earlier
        line = log.readLine();
      }
      process.toHandle().destroy(); // a SIGTERM
      String last = line;
      while ((line = log.readLine()) != null) {
        last = line;
      }
      assertTrue(last.contains("n0 ends: client_connections="), last);
      assertEquals(0, process.waitFor());
    } finally {
      process.destroyForcibly();
    }
  }

  /** Nine of ten restarted proxies must be ready within 10 s, even while discovery is down. */
  @Test
  void processIsReadyWithinSecondsWhileDiscoveryIsDown(@TempDir Path dir) throws Exception {
    long startedAt = System.nanoTime();
    Process process = serve(writeConfig(dir, Stub.nobody()));
    try (BufferedReader log = process.inputReader()) {
      boolean listens = false;
      boolean warm = false;
      while (!listens || !warm) {
        String line = log.readLine();
        listens |= line.contains("n0 listens on");
        warm |= line.contains("n0 is warm");
      }
      assertTrue((System.nanoTime() - startedAt) / 1e9 < 10);
    } finally {
      process.destroyForcibly();
    }
  }

  /** A start must not spend time on picocli's model or on classes generated for string concatenation. */
  @Test
  void bareServeCommandStartsWithoutTheCommandLineModel(@TempDir Path dir) throws Exception {
    ProcessBuilder builder = TestProcess.java(Main.class, List.of("-Xlog:class+load"), "serve");
    builder.environment().put("PROXY_CONFIG", writeConfig(dir, Stub.nobody()).toString());
    Process process = builder.start();
    try (BufferedReader log = process.inputReader()) {
      int classes = 0;
      for (String line = log.readLine(); !line.contains("n0 listens on"); line = log.readLine()) {
        classes += line.contains("[class,load]") ? 1 : 0;
        assertFalse(line.contains("picocli.CommandLine$Model"), line);
        assertFalse(line.contains("BoundMethodHandle$Species_LLLL"),
            "string concatenation by generated classes: " + line);
      }
      assertTrue(classes > 500, "class loading is logged, classes: " + classes);
    } finally {
      process.destroyForcibly();
    }
  }

  /** A SIGHUP must not end the process, and an invalid file must leave the settings in force. */
  @Test
  void sighupReloadsTheConfigurationAndAnInvalidOneChangesNothing(@TempDir Path dir) throws Exception {
    try (Stub first = new Stub(Stub.Peer::beSilent); Stub second = new Stub(Stub.Peer::beSilent)) {
      Path config = writeConfig(dir, first.address());
      Process process = serve(config);
      try (BufferedReader log = process.inputReader()) {
        await(log, "n0 listens on");
        Files.writeString(config, "{\"name\":");
        sendSighup(process);
        await(log, "the old one stays");
        writeConfig(dir, second.address());
        sendSighup(process);
        await(log, "discovery moves to /" + second.address());
        sendSighup(process);
        await(log, "discovery stays at");
        assertTrue(process.isAlive());
        while (second.connections() == 0) {
          Thread.onSpinWait();
        }
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /**
   * A proxy under nohup receives no SIGHUP. Without another way to reload it would keep an old address of
   * discovery, and send to hosts that drain.
   */
  @Test
  void changedConfigurationIsReloadedIfSighupWasIgnoredBeforeTheStart(@TempDir Path dir)
      throws Exception {
    try (Stub first = new Stub(Stub.Peer::beSilent); Stub second = new Stub(Stub.Peer::beSilent)) {
      ProcessBuilder builder = TestProcess.java(Main.class, List.of(), "serve", "--config",
          writeConfig(dir, first.address()).toString());
      builder.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
      Process process = builder.start();
      try (BufferedReader log = process.inputReader()) {
        await(log, SIGHUP_IGNORED);
        await(log, "n0 listens on");
        Files.writeString(dir.resolve("config.json"), "{\"name\":");
        await(log, "the old one stays");
        writeConfig(dir, second.address());
        sendSighup(process); // not received, and must not end the process
        await(log, "discovery moves to /" + second.address());
        assertTrue(process.isAlive());
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private static void sendSighup(Process process) throws Exception {
    assertTrue(TestProcess.signal(process, "HUP"));
  }

  /**
   * Reads the log up to the line with this text. Fails at once if the tests run under nohup, where no SIGHUP
   * would ever be received.
   */
  private static void await(BufferedReader log, String text) throws Exception {
    String line = log.readLine();
    while (!line.contains(text)) {
      assertFalse(line.contains(SIGHUP_IGNORED), "the tests run where SIGHUP is ignored, as under nohup");
      line = log.readLine();
    }
  }

  private static Path writeConfig(Path dir, String discovery) throws Exception {
    return Files.writeString(dir.resolve("config.json"), """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1",
         "known":{"seq":1,"whole":true,"hosts":[]},"settings":{}}""".formatted(discovery));
  }

  private static Process serve(Path config) throws Exception {
    return TestProcess.java(Main.class, List.of(), "serve", "--config", config.toString()).start();
  }
}

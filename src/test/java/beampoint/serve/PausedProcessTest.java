package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.TestProcess;
import beampoint.cli.Main;
import beampoint.emulator.ReservedPort;
import beampoint.serve.ProxyFixture.Client;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests begun for clients that left, or with time that is over, after a stop. */
@Timeout(60)
class PausedProcessTest {

  private static final int TIMES = 5;
  private static final int ALLOWED_MS = 150; // to be held up
  private static final int LONG_MS = 400;
  private static final int SLACK_MS = 150;
  private static final int WAITS_MS = 700;
  private static final String ASKED = "mg 7f3a v Oasked Pc=read,t=acme,d=" + WAITS_MS + "\r\n";
  private static final String SERVED = "mg 1 v Oserved Pc=read,t=acme,d=" + WAITS_MS + "\r\n";
  private static final String SETTINGS =
      ProxyFixture.SETTINGS.replaceAll("\"(target|hard-limit)-ms\":[0-9]+", "\"$1-ms\":" + WAITS_MS);
  private static final Pattern TIME = Pattern.compile("d=(\\d+)");

  @TempDir
  private Path directory;
  private Stub cache;
  private Stub discovery;
  private ReservedPort port;
  private Process process;

  @BeforeEach
  void start() throws Exception {
    cache = new Stub(PausedProcessTest::serve);
    discovery = ProxyFixture.unchangedDiscovery();
    port = new ReservedPort();
    Path config = directory.resolve("config.json");
    Files.writeString(config,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port.number() + "\",\"seed\":\"1\","
            + "\"discovery\":\"" + discovery.address() + "\",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
            + ProxyFixture.host("a", cache.address(), "m2") + "]},\"settings\":" + SETTINGS
            + "}");
    ProcessBuilder builder =
        TestProcess.java(Main.class, List.of(), "serve", "--config", config.toString());
    builder.environment().put("TMPDIR", directory.toString());
    process = builder.redirectOutput(directory.resolve("log").toFile()).start();
    while (!isReady()) {
      assertTrue(process.isAlive(), "it ended before it was ready");
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  @AfterEach
  void end() throws Exception {
    process.destroyForcibly().waitFor();
    port.close();
    cache.close();
    discovery.close();
  }

  /** Takes each request and answers it at once. */
  private static void serve(Stub.Peer peer) throws IOException {
    for (String line = peer.line(); line != null; line = peer.line()) {
      peer.say(line.equals("mn") ? "MN\r\n" : "VA 2 " + line.split(" ")[3] + " h1\r\nok\r\n");
    }
  }

  private boolean isReady() {
    try (Client client = new Client(port.number())) {
      return "MN".equals(client.request("mn\r\n"));
    } catch (IOException e) {
      return false; // it does not listen yet
    }
  }

  private void signal(String name) throws Exception {
    assertTrue(TestProcess.signal(process, name));
  }

  /** Stops the process, and returns once each of its threads stands still. */
  private void stop() throws Exception {
    signal("STOP");
    while (!standsStill()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private boolean standsStill() throws IOException {
    File[] threads = new File("/proc/" + process.pid() + "/task").listFiles();
    for (File thread : threads) {
      String status = Files.readString(thread.toPath().resolve("status"));
      if (!status.contains("State:\tT")) {
        return false;
      }
    }
    return true;
  }

  /** The next request that the cache is sent, probes aside; null where none comes for a while. */
  private String sent(long ms) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    String line = cache.lines.poll(ms, TimeUnit.MILLISECONDS);
    while (line != null && !line.startsWith("mg 7f3a")) {
      line = cache.lines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
    }
    return line;
  }

  /** A client that has been served, so that there is a connection to the cache. */
  private Client servedClient() throws IOException {
    Client client = new Client(port.number());
    assertEquals("VA 2 Oserved", client.request(SERVED));
    assertEquals("ok", client.line());
    return client;
  }

  /** Stops the process, after a pause of some ms, while clients do something and for a time after that. */
  private void stopWhile(int pauseMs, int stopMs, ClientActions clients) throws Exception {
    TimeUnit.MILLISECONDS.sleep(pauseMs);
    stop();
    clients.run();
    TimeUnit.MILLISECONDS.sleep(stopMs);
    signal("CONT");
  }

  /** What clients do. */
  private interface ClientActions {
    void run() throws IOException;
  }

  @Test
  void aRequestWhoseClientHasLeftMeanwhileIsNotBegun() throws Exception {
    for (int i = 0; i < TIMES; i++) {
      try (Client client = servedClient()) {
        stopWhile(7 * i, ALLOWED_MS, () -> {
          client.send(ASKED);
          client.socket.close();
        });
        assertNull(sent(300), "begun after its client's close");
      }
    }
  }

  @Test
  void aRequestWhoseClientHasComeAndLeftMeanwhileIsNotBegun() throws Exception {
    for (int i = 0; i < TIMES; i++) {
      servedClient().close();
      stopWhile(7 * i, ALLOWED_MS, () -> {
        try (Client client = new Client(port.number())) {
          client.send(ASKED);
        }
      });
      assertNull(sent(300), "begun after its client's close");
    }
  }

  /** A machine that is too busy may leave no time to send it on: then it is refused, but not each time. */
  @Test
  void whatCameMeanwhileTellsWhatIsLeft() throws Exception {
    int sentOn = 0;
    for (int i = 0; i < TIMES; i++) {
      try (Client client = servedClient()) {
        TimeUnit.MILLISECONDS.sleep(7 * i);
        stop();
        long askedAt = System.nanoTime();
        client.send(ASKED);
        TimeUnit.MILLISECONDS.sleep(LONG_MS);
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAt);
        signal("CONT");
        String answer = client.line();
        Matcher told = TIME.matcher(String.valueOf(sent(100)));
        if (told.find()) {
          sentOn++;
          int ms = Integer.parseInt(told.group(1));
          assertTrue(ms <= WAITS_MS - passed + SLACK_MS, "told " + ms + " ms after " + passed + " ms");
        } else {
          assertTrue(answer.startsWith("SERVER_ERROR"), answer);
        }
      }
    }
    assertTrue(sentOn > 0, "none was sent on");
  }
}

package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
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

/** Guards against starting, after a pause, requests whose clients have left or whose time is over. */
@Timeout(60)
class PausedProcessTest {

  private static final int REPETITIONS = 5;
  private static final int ALLOWED_PAUSE_MS = 150; // a process may be paused for this long
  private static final int LONG_PAUSE_MS = 400;
  private static final int TOLERANCE_MS = 150;
  private static final int DEADLINE_MS = 700;
  private static final String REQUEST = "mg 7f3a v Oasked Pc=read,t=acme,d=" + DEADLINE_MS + "\r\n";
  private static final String FIRST_REQUEST = "mg 1 v Oserved Pc=read,t=acme,d=" + DEADLINE_MS + "\r\n";
  private static final String SETTINGS =
      ProxyFixture.SETTINGS.replaceAll("\"(target|hard-limit)-ms\":[0-9]+", "\"$1-ms\":" + DEADLINE_MS);
  private static final Pattern TIME_LEFT = Pattern.compile("d=(\\d+)");

  @TempDir
  private Path directory;
  private Stub cache;
  private ProcessFixture proxy;

  @BeforeEach
  void start() throws Exception {
    cache = new Stub(PausedProcessTest::serve);
    proxy =
        new ProcessFixture(directory, SETTINGS, List.of(ProxyFixture.host("a", cache.address(), "m2")));
  }

  @AfterEach
  void end() throws Exception {
    proxy.close();
    cache.close();
  }

  /** Answers each command at once. */
  private static void serve(Stub.Peer peer) throws IOException {
    for (String line = peer.line(); line != null; line = peer.line()) {
      peer.say(line.equals("mn") ? "MN\r\n" : "VA 2 " + line.split(" ")[3] + " h1\r\nok\r\n");
    }
  }

  /** Pauses the process, and returns once each of its threads has stopped. */
  private void pause() throws Exception {
    proxy.signal("STOP");
    while (!isPaused()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private boolean isPaused() throws IOException {
    File[] threads = new File("/proc/" + proxy.process.pid() + "/task").listFiles();
    for (File thread : threads) {
      String status = Files.readString(thread.toPath().resolve("status"));
      if (!status.contains("State:\tT")) {
        return false;
      }
    }
    return true;
  }

  /** The next request that the cache receives, apart from probes; null if none comes within so many ms. */
  private String nextRequest(long ms) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    String line = cache.lines.poll(ms, TimeUnit.MILLISECONDS);
    while (line != null && !line.startsWith("mg 7f3a")) {
      line = cache.lines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
    }
    return line;
  }

  /** A client that has been served, so that a connection to the cache exists. */
  private Client servedClient() throws IOException {
    Client client = new Client(proxy.port);
    assertEquals("VA 2 Oserved", client.request(FIRST_REQUEST));
    assertEquals("ok", client.line());
    return client;
  }

  /** Pauses the process after a delay, while clients act and for so many ms after that. */
  private void pauseWhile(int delayMs, int pauseMs, ClientActions clients) throws Exception {
    TimeUnit.MILLISECONDS.sleep(delayMs);
    pause();
    clients.run();
    TimeUnit.MILLISECONDS.sleep(pauseMs);
    proxy.signal("CONT");
  }

  /** What clients do while the process is paused. */
  private interface ClientActions {
    void run() throws IOException;
  }

  @Test
  void aRequestWhoseClientLeavesDuringAPauseIsNotStarted() throws Exception {
    for (int i = 0; i < REPETITIONS; i++) {
      try (Client client = servedClient()) {
        pauseWhile(7 * i, ALLOWED_PAUSE_MS, () -> {
          client.send(REQUEST);
          client.socket.close();
        });
        assertNull(nextRequest(300), "started after its client's close");
      }
    }
  }

  @Test
  void aRequestWhoseClientComesAndLeavesDuringAPauseIsNotStarted() throws Exception {
    for (int i = 0; i < REPETITIONS; i++) {
      servedClient().close();
      pauseWhile(7 * i, ALLOWED_PAUSE_MS, () -> {
        try (Client client = new Client(proxy.port)) {
          client.send(REQUEST);
        }
      });
      assertNull(nextRequest(300), "started after its client's close");
    }
  }

  /** On a busy machine a request may have no time left; it is refused then, but not in all repetitions. */
  @Test
  void aRequestThatArrivesDuringAPauseIsSentWithTheTimeLeft() throws Exception {
    int sentCount = 0;
    for (int i = 0; i < REPETITIONS; i++) {
      try (Client client = servedClient()) {
        TimeUnit.MILLISECONDS.sleep(7 * i);
        pause();
        long sentAt = System.nanoTime();
        client.send(REQUEST);
        TimeUnit.MILLISECONDS.sleep(LONG_PAUSE_MS);
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        proxy.signal("CONT");
        String answer = client.line();
        Matcher timeLeft = TIME_LEFT.matcher(String.valueOf(nextRequest(100)));
        if (timeLeft.find()) {
          sentCount++;
          int ms = Integer.parseInt(timeLeft.group(1));
          assertTrue(ms <= DEADLINE_MS - passed + TOLERANCE_MS, "sent " + ms + " ms after " + passed + " ms");
        } else {
          assertTrue(answer.startsWith("SERVER_ERROR"), answer);
        }
      }
    }
    assertTrue(sentCount > 0, "no request was sent on");
  }
}

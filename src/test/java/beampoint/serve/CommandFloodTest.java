package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A client that sends commands at full speed on one connection does not keep others from their answers. */
@Timeout(60)
class CommandFloodTest {

  private static final int FLOOD_MS = 3000;
  private static final int DEADLINE_MS = 1000;
  private static final int ANSWER_GRACE_MS = 500;
  private static final int COMMANDS_AT_ONCE = 20_000;
  private static final int COMMANDS_PER_WRITE = 500;
  /** What may be read and not handled, over all connections, and what one connection may add to that. */
  private static final int MAX_QUEUED_COMMANDS = 1000 + 64;

  @TempDir
  private Path directory;

  /** Answers each command at once. */
  private static void serve(Stub.Peer peer) throws IOException {
    for (String line = peer.line(); line != null; line = peer.line()) {
      peer.say(line.equals("mn") ? "MN\r\n" : "VA 2 " + line.split(" ")[3] + " h1\r\nok\r\n");
    }
  }

  /** Sends a command again and again for some time, with a new number for each N, and reads the answers. */
  private static Thread flood(int port, String command) {
    Thread thread = new Thread(() -> {
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
      try (Socket socket = new Socket("127.0.0.1", port)) {
        discardAnswers(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (int i = 0; System.nanoTime() < until; i += COMMANDS_PER_WRITE) {
          StringBuilder text = new StringBuilder();
          for (int j = i; j < i + COMMANDS_PER_WRITE; j++) {
            text.append(command.replace("N", Integer.toHexString(j))).append("\r\n");
          }
          out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        // the proxy has ended the connection, as it may
      }
    }, "flood");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void discardAnswers(InputStream in) {
    Thread thread = new Thread(() -> {
      try {
        in.transferTo(OutputStream.nullOutputStream());
      } catch (IOException e) {
        // the end of the flood
      }
    }, "flood-answers");
    thread.setDaemon(true);
    thread.start();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"stats", "mn", "mg kN v ON Pc=read,t=acme,d=500", "mg kN v ON Pc=classN,t=acme,d=500",
          "mg kN v ON Pc=read,t=tenantN,d=500"})
  void otherClientsAreAnsweredInTimeBesideAFlood(String command) throws Exception {
    try (Stub cache = new Stub(CommandFloodTest::serve);
        ProcessFixture proxy = new ProcessFixture(directory, ProxyFixture.SETTINGS,
            List.of(ProxyFixture.host("a", cache.address(), "m2")));
        Client client = new Client(proxy.port)) {
      client.socket.setSoTimeout(2 * FLOOD_MS);
      Thread flood = flood(proxy.port, command);
      for (int i = 0; flood.isAlive(); i++) {
        long sentAt = System.nanoTime();
        String answer =
            client.request("mg usual" + i + " v Ousual" + i + " Pc=read,t=acme,d=" + DEADLINE_MS + "\r\n");
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        assertNotNull(answer);
        assertTrue(elapsedMs <= DEADLINE_MS + ANSWER_GRACE_MS, "answered after " + elapsedMs + " ms");
        if (answer.startsWith("VA")) {
          assertEquals("ok", client.line());
        }
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
  }

  /** Guards against a read buffer full of short commands, which are all handled before anything else. */
  @Test
  void commandsAtOnceAreReadAFewAtATime() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      client.send("mn\r\n".repeat(COMMANDS_AT_ONCE));
      for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
        assertEquals("MN", client.line());
      }
      long queued = proxy.proxy.counters().get(Counter.COMMANDS_QUEUED_PEAK);
      assertTrue(queued <= MAX_QUEUED_COMMANDS, queued + " commands at once");
    }
  }
}

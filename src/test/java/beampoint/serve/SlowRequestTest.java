package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A large write that the origin reads slowly, or never to its end, has its final answer in time. */
@Timeout(60)
class SlowRequestTest {

  private static final int CLIENTS = 3;
  private static final int VALUE_BYTES = 2 * 1024 * 1024;
  private static final int DEADLINE_MS = 1000;
  private static final int ANSWER_GRACE_MS = 500;
  private static final int BYTES_AT_ONCE = 8 * 1024;
  private static final int PAUSE_MS = 50;

  @TempDir
  private Path directory;

  private static void readSlowly(Stub.Peer peer) throws IOException, InterruptedException {
    while (!peer.bytes(BYTES_AT_ONCE).isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "TERM"})
  void aWriteThatTheOriginReadsSlowlyIsAnsweredAtItsDeadline(String signal) throws Exception {
    List<Client> clients = new ArrayList<>();
    try (Stub origin = new Stub(SlowRequestTest::readSlowly);
        ProcessFixture proxy = new ProcessFixture(directory, ProxyFixture.SETTINGS,
            List.of(ProxyFixture.host("origin", origin.address(), "origin")))) {
      String value = "x".repeat(VALUE_BYTES);
      List<Long> sentAt = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(new Client(proxy.port));
        clients.get(i).send("ms k" + i + " " + VALUE_BYTES + " O" + i + " Pc=put,t=acme,k=" + i + ",d="
            + DEADLINE_MS + "\r\n" + value + "\r\n");
        sentAt.add(System.nanoTime());
      }
      if (!signal.isEmpty()) {
        proxy.signal(signal);
      }
      for (int i = 0; i < CLIENTS; i++) {
        String answer = clients.get(i).line();
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt.get(i));
        assertTrue(answer != null && answer.startsWith("SERVER_ERROR"), "answer: " + answer);
        assertTrue(elapsedMs <= DEADLINE_MS + ANSWER_GRACE_MS, "answered after " + elapsedMs + " ms");
      }
    } finally {
      Client.closeAll(clients);
    }
  }
}

package beampoint.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.RequestReceived;
import beampoint.policy.BalancerPolicy;
import beampoint.settings.InputException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The simulator's wire format, and the messages on malformed input. */
class SimulatorHostTest {

  private static final String START = "turn\tmoment-ms=1\ncontext\tproxy-id=proxy/0\n"
      + "new_instance\tnonce64=1\tlanes.count=1\tlanes.0.idempotency=safe\tlanes.0.target-ms=100\t"
      + "lanes.0.hard-limit-ms=200\tnew.key=1\n"
      + "endpoints\tform=remembered\tmembers-list=1\nitem\tnode=10.0.0.1:80\thealth=Running\tnovel=1\n";

  private static String run(String input) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
    new SimulatorHost(new ByteArrayInputStream(bytes), new PrintStream(out), BalancerPolicy::new).run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String problem(String input) {
    return assertThrows(InputException.class, () -> run(input)).getMessage();
  }

  @Test
  void anEmptyBatchIsAnsweredWithDone() throws Exception {
    assertEquals("done\n", run("turn\tmoment-ms=1\ncommit\n"));
  }

  @Test
  void aRequestIsSentAndUnknownMessagesAndKeysAreSkipped() throws Exception {
    String reply = run(START + "novelty\ta=b\nnew_request\trid=5\tnot-after-ms=200\tservice=0\taffinity=9\n"
        + "commit\n");
    assertEquals("from\tproxy-id=proxy/0\ncall_out\trid=5\tnode=10.0.0.1:80\tlimit-ms=100.0\ndone\n", reply);
  }

  @Test
  void aKilledInstanceMayStartAgainInTheSameBatch() throws Exception {
    String again = START.substring(START.indexOf("new_instance"));
    assertEquals("done\n", run(START + "kill\n" + again + "commit\n"));
  }

  @Test
  void aFailureOfTheModuleIsReportedAsAFaultWithItsCause() throws Exception {
    String reply = run(START + "new_request\trid=5\tnot-after-ms=200\tservice=9\taffinity=9\ncommit\n");
    assertTrue(reply.contains("fault\tbody-text=") && reply.contains("OutOfBoundsException"), reply);
  }

  @Test
  void theBalancerGetsTheRetryMarkOfAClient() throws Exception {
    List<Boolean> marks = new ArrayList<>();
    String input = START + "new_request\trid=5\tnot-after-ms=200\tservice=0\taffinity=9\n"
        + "new_request\trid=6\tnot-after-ms=200\tservice=0\taffinity=9\tresent=1\ncommit\n";
    new SimulatorHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
        new PrintStream(new ByteArrayOutputStream()), settings -> (now, event) -> {
          if (event instanceof RequestReceived e) {
            marks.add(e.markedAsRetry());
          }
          return List.of();
        }).run();
    assertEquals(List.of(false, true), marks);
  }

  /** A peer of another version, or a truncated message, must not end this instance. */
  @Test
  void messagesFromPeersAreIgnored() throws Exception {
    String messages = "inbox\tneighbour=2\tdata=aGkgNw==\n" + "inbox\tneighbour=2\tdata=aGkgNw==\n"
        + "inbox\tneighbour=999999\tdata=" + "QUJD".repeat(500) + "\n" + "inbox\tneighbour=-1\tdata=%%%\n"
        + "inbox\tdata=\n" + "inbox\tneighbour=x\tdata=aGk\tversion=9\n";
    String request = "new_request\trid=5\tnot-after-ms=200\tservice=0\taffinity=9\ncommit\n";
    assertEquals(run(START + request), run(START + messages + request));
  }

  @Test
  void malformedInputIsReportedWithLineAndField() {
    String missing = problem(START + "new_request\trid=5\ncommit\n");
    assertTrue(missing.contains("line 6") && missing.contains("'not-after-ms'"), missing);
    String word = problem(START + "new_request\trid=five\tnot-after-ms=1\ncommit\n");
    assertTrue(word.contains("'rid'") && word.contains("five"), word);
    assertTrue(problem("turn\tmoment-ms=1\ncontext\tproxy-id=proxy/3\nvanished\trid=1\ncommit\n")
        .contains("unknown instance"));
    assertTrue(problem("turn\tmoment-ms=1\nvanished\trid=1\ncommit\n").contains("before any context"));
    assertTrue(problem("commit\n").contains("outside a batch"));
    assertTrue(problem("turn\tmoment-ms=1\n").contains("inside a batch"));
    assertTrue(problem("turn\tmoment-ms\ncommit\n").contains("without name=value"));
  }
}

package beampoint.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

class RateLimitedLogTest {

  @Test
  void linesBeyondTheLimitAreLeftOutAndCountedInTheNextLine() throws InterruptedException {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    System.setErr(new PrintStream(text, true));
    try {
      RateLimitedLog log = new RateLimitedLog(Log.of("test"), 2);
      for (int i = 0; i < 5; i++) {
        if (log.mayWrite()) {
          log.info("line " + i);
        }
      }
      while (!log.mayWrite()) {
        Thread.sleep(10);
      }
      log.info("last line");
    } finally {
      System.setErr(originalErr);
    }
    String[] lines = text.toString().split("\n");
    assertEquals(3, lines.length);
    assertTrue(lines[1].endsWith("line 1"));
    assertTrue(lines[2].matches(".* last line; \\d+ lines like this were left out before"), lines[2]);
  }
}

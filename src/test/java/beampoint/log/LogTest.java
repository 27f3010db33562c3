package beampoint.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** The form of log lines, repeated lines, and the log of libraries. */
class LogTest {

  private static String[] written(Runnable task) {
    PrintStream original = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      System.setErr(new PrintStream(bytes, true));
      task.run();
    } finally {
      System.setErr(original);
    }
    return bytes.toString().split("\n");
  }

  @Test
  void lineRepeatedWithinASecondIsOnlyCounted() {
    Log log = Log.of("part");
    String[] lines = written(() -> {
      for (int i = 0; i < 100; i++) {
        log.warn("all connections are in use");
      }
      log.info("another");
    });
    assertEquals(3, lines.length);
    assertTrue(lines[1].endsWith("part: the previous line was repeated 99 times"), lines[1]);
  }

  @Test
  void warningsOfLibrariesAreWrittenToTheSameLog() {
    String[] lines = written(() -> {
      Log.captureLibraryLogs();
      Logger.getLogger("org.example").warning("it creaks");
      Logger.getLogger("org.example").info("it runs");
    });
    assertEquals(1, lines.length);
    assertTrue(lines[0].endsWith("WARN  library: org.example: it creaks"), lines[0]);
  }

  @Test
  void lineHasTimeLevelComponentAndTextAndNoTextAddsALine() {
    String[] lines = written(() -> {
      Log.of("part").warn("one\r\ntwo");
      Log.of("part").error("it broke", new IllegalStateException("why"));
    });
    assertTrue(lines[0].matches("\\S+Z WARN  part: one two"), lines[0]);
    assertTrue(lines[1].endsWith("ERROR part: it broke"), lines[1]);
    assertEquals("java.lang.IllegalStateException: why", lines[2]);
  }
}

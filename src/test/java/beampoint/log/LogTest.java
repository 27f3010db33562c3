package beampoint.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** Log lines. */
class LogTest {

  @Test
  void aLineHasTimeLevelPartAndTextAndNoTextAddsALine() {
    PrintStream standard = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      System.setErr(new PrintStream(bytes, true));
      Log.of("part").warn("one\r\ntwo");
      Log.of("part").error("it broke", new IllegalStateException("why"));
    } finally {
      System.setErr(standard);
    }
    String[] lines = bytes.toString().split("\n");
    assertTrue(lines[0].matches("\\S+Z WARN  part: one two"), lines[0]);
    assertTrue(lines[1].endsWith("ERROR part: it broke"), lines[1]);
    assertEquals("java.lang.IllegalStateException: why", lines[2]);
  }
}

package beampoint.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** The command line's usage errors. */
class MainTest {

  private final StringWriter errors = new StringWriter();

  private int run(String... args) {
    return new CommandLine(new Main()).setErr(new PrintWriter(errors, true)).execute(args);
  }

  @Test
  void withoutACommandItPrintsItsUsageAndExitsTwo() {
    assertEquals(2, run());
    assertTrue(errors.toString().contains("Usage: beampoint"), errors.toString());
  }

  @Test
  void aWrongCommandOrOptionExitsTwo() {
    assertEquals(2, run("dril"));
    assertEquals(2, run("drill", "--fast"));
  }
}

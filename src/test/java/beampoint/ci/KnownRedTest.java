package beampoint.ci;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The check of CI: just the tests that are listed as red may fail, and they must. */
@Timeout(30)
class KnownRedTest {

  private static final String RED = "a.OneTest#fails: a cause, issue 1\n";

  @TempDir
  private Path reports;
  private String told;

  @BeforeEach
  void report() throws IOException {
    Files.writeString(reports.resolve("TEST-a.OneTest.xml"), """
        <testsuite name="a.OneTest">
          <testcase name="passes" classname="a.OneTest" time="0.1"/>
          <testcase name="fails" classname="a.OneTest" time="0.1">
            <failure message="no" type="x">text</failure>
          </testcase>
          <testcase name="isSkipped" classname="a.OneTest" time="0"><skipped/></testcase>
        </testsuite>
        """);
  }

  private int check(String list) throws IOException, InterruptedException {
    Path file = reports.resolve("list");
    Files.writeString(file, list);
    Process process = new ProcessBuilder("bash", ".ci/known-red", file.toString(), reports.toString())
        .redirectErrorStream(true).start();
    told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    return process.exitValue();
  }

  @Test
  void whatIsListedMayFailAndIsTold() throws Exception {
    assertEquals(0, check(RED), told);
    assertTrue(told.contains("known red: a.OneTest#fails"), told);
  }

  @Test
  void anyOtherFailureFails() throws Exception {
    assertEquals(1, check(""));
    assertTrue(told.contains("failed: a.OneTest#fails"), told);
    Files.writeString(reports.resolve("TEST-a.TwoTest.xml"), """
        <testcase name="breaks(int)[5]" classname="a.TwoTest" time="0.1">
          <error type="x">text</error>
        </testcase>
        """);
    assertEquals(1, check(RED));
    assertTrue(told.contains("failed: a.TwoTest#breaks\n"), told);
  }

  @Test
  void whatIsListedAndDoesNotFailFails() throws Exception {
    for (String name : new String[] {"passes", "isSkipped", "isNowhere"}) {
      assertEquals(1, check(RED + "a.OneTest#" + name + ": a cause, issue 1\n"), name);
      assertTrue(told.contains("did not fail: a.OneTest#" + name), told);
    }
  }

  @Test
  void moreThanThreeFail() throws Exception {
    assertEquals(1, check(RED + RED + RED + RED));
    assertTrue(told.contains("three at most"), told);
  }
}

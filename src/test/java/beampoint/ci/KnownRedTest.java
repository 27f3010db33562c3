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

/** Tests {@code .ci/known-red}: exactly the listed tests may fail, and they must. */
@Timeout(30)
class KnownRedTest {

  private static final String KNOWN_TEST = testEntry("a.OneTest#fails");
  private static final String KNOWN_CASE =
      "case | a slow day | bench --day 3 | seed 7 | a lost request | issue 1\n";

  @TempDir
  private Path reports;
  private String output;

  @BeforeEach
  void writeReport() throws IOException {
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

  private static String testEntry(String name) {
    return "test | " + name + " | mvn test | no seed | a cause | issue 1\n";
  }

  private int runCheck(String list) throws IOException, InterruptedException {
    Path file = reports.resolve("list");
    Files.writeString(file, list);
    Process process = new ProcessBuilder("bash", ".ci/known-red", file.toString(), reports.toString())
        .redirectErrorStream(true).start();
    output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    return process.exitValue();
  }

  @Test
  void aListedFailureIsAllowedAndPrinted() throws Exception {
    assertEquals(0, runCheck(KNOWN_TEST), output);
    assertTrue(output.contains("known red: test | a.OneTest#fails"), output);
  }

  @Test
  void anUnlistedFailureFailsTheCheck() throws Exception {
    assertEquals(1, runCheck(""));
    assertTrue(output.contains("failed: a.OneTest#fails"), output);
    Files.writeString(reports.resolve("TEST-a.TwoTest.xml"), """
        <testcase name="breaks(int)[5]" classname="a.TwoTest" time="0.1">
          <error type="x">text</error>
        </testcase>
        """);
    assertEquals(1, runCheck(KNOWN_TEST));
    assertTrue(output.contains("failed: a.TwoTest#breaks\n"), output);
  }

  @Test
  void aListedTestThatDoesNotFailFailsTheCheck() throws Exception {
    for (String name : new String[] {"passes", "isSkipped", "isNowhere"}) {
      assertEquals(1, runCheck(KNOWN_TEST + testEntry("a.OneTest#" + name)), name);
      assertTrue(output.contains("did not fail: test | a.OneTest#" + name), output);
    }
  }

  @Test
  void manyEntriesAreAllowed() throws Exception {
    StringBuilder cases = new StringBuilder();
    for (int i = 0; i < 20; i++) {
      cases.append(KNOWN_CASE.replace("slow day", "slow day " + i));
    }
    assertEquals(0, runCheck("# a comment\n\n" + KNOWN_TEST + cases), output);
  }

  @Test
  void aListedCaseIsPrintedAndAllowsNoTestToFail() throws Exception {
    assertEquals(0, runCheck(KNOWN_TEST + KNOWN_CASE), output);
    assertTrue(output.contains("known red: case | a slow day"), output);
    assertEquals(1, runCheck("case | a.OneTest#passes | mvn test | no seed | a cause | issue 1\n"), output);
    assertTrue(output.contains("failed: a.OneTest#fails"), output);
  }

  /** A listed case allows no test to fail, even if it has the name of a failed test. */
  @Test
  void aCaseNamedLikeATestDoesNotAllowItToFail() throws Exception {
    assertEquals(1, runCheck("case | a.OneTest#fails | mvn test | no seed | a cause | issue 1\n"), output);
    assertTrue(output.contains("failed: a.OneTest#fails"), output);
  }

  @Test
  void aMalformedEntryFailsTheCheckWithItsLineNumber() throws Exception {
    String[][] malformed = {
        {"a.OneTest#fails: a cause, issue 1", "neither a test nor a case"},
        {"test | fails | mvn test | no seed | a cause | issue 1", "no name"},
        {"test | a.OneTest#fails |  | no seed | a cause | issue 1", "no command"},
        {"test | a.OneTest#fails | mvn test | often | a cause | issue 1", "no seed"},
        {"test | a.OneTest#fails | mvn test | no seed |  | issue 1", "nothing of what was seen"},
        {"test | a.OneTest#fails | mvn test | no seed | a cause", "no issue"},
        {"case | a slow day | bench | seed 7 | lost", "no issue"},
        {"case | a slow day | bench | seed 7 | lost | issue x", "no issue"},
        {"case | a slow day | bench | seed 7 | lost | issue 1 | more", "too many fields"}};
    for (String[] entry : malformed) {
      assertEquals(1, runCheck(KNOWN_TEST + entry[0] + "\n"), entry[0]);
      assertTrue(output.contains("line 2: " + entry[1]) && output.contains(entry[0]), output);
    }
    assertEquals(1, runCheck(KNOWN_TEST + KNOWN_TEST), output);
    assertTrue(output.contains("line 2: listed twice"), output);
  }
}

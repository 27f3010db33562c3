package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.settings.InputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Scenario files: defaults, and errors that name file, line and field in one sentence. */
class ScenarioTest {

  private static final String DAY = """
      version: 1
      seconds: 10
      proxies: 2
      classes:
        - {name: read, work_ms: 20, deadline_ms: 1200}
      tenants: [{name: one, quota_per_s: 100}]
      caches: {count: 6}
      """;

  private static String problem(String text) {
    String problem = assertThrows(InputException.class, () -> Scenario.parse("day.yaml", text)).getMessage();
    assertEquals(1, problem.lines().count(), problem);
    return problem;
  }

  @Test
  void omittedFieldsHaveDefaults() throws Exception {
    Scenario scenario = Scenario.parse("day.yaml", DAY);
    assertEquals(10_000, scenario.length());
    assertEquals(1200, scenario.loadClasses().get(0).requestClass().aim());
    assertEquals(100, scenario.tenants().get(0).rate());
  }

  @Test
  void eachErrorInAFileIsReportedWithLineAndField() {
    String caches = "caches: {count: 6}";
    String[][] cases = {
        {"proxies: 2", "proxys: 2", "day.yaml, line 1, field 'proxies': missing"},
        {"seconds: 10", "seconds: -1", "day.yaml, line 2, field 'seconds': -1 is not from 1 to 86400"},
        {"seconds: 10", "seconds: soon", "day.yaml, line 2, field 'seconds': not a number: 'soon'"},
        {"proxies: 2", "proxies: 2.5", "day.yaml, line 3, field 'proxies': not a whole number: 2.5"},
        {"count: 6", "count: 0", "day.yaml, line 7, field 'caches.count': 0 is not from 1 to 4096"},
        {"count: 6", "count: 6, colour: red", "day.yaml, line 7, field 'caches.colour': unknown"},
        {"quota_per_s: 100", "quota_per_s: 0", "day.yaml, line 6, field 'tenants[0].quota_per_s': 0 is not"},
        {"version: 1", "version: 2", "line 1, field 'version': this program reads version 1 only"},
        {"version: 1", "version: 1\nversion: 1", "is duplicated"},
        {"- {name: read", "- {effect: sure, name: read", "'sure' is not one of safe, keyed, unsafe"},
        {caches, "caches: 6", "day.yaml, line 7, field 'caches': not a mapping"},
        {caches, caches + "\nfaults: [{what: slow}]", "'faults[0].at_s': missing"},
        {caches, caches + "\nfaults: [{what: crash, at_s: 1, zone: 4}]", "zone': 4 is not"},
        {caches, caches + "\nfaults: [{what: surge, at_s: 1, tenant: none}]", "no tenant of this scenario"},
        {"tenants: [{name: one, quota_per_s: 100}]", "tenants: []", "'tenants': fewer than 1 entries"},
    };
    for (String[] example : cases) {
      String problem = problem(DAY.replace(example[0], example[1]));
      assertTrue(problem.contains(example[2]), problem);
    }
  }

  /** Guards against limits below the size of the planned fleet: 2,300 proxies, 610 caches, 180 zones. */
  @Test
  void aFleetMayBeNearlyTwiceAsLargeAsPlanned() throws Exception {
    String[][] largest = {{"proxies: 2", "proxies: %d", "4096"}, {"count: 6", "count: %d", "4096"},
        {"proxies: 2", "proxies: 2\nzones: %d", "1024"}};
    for (String[] example : largest) {
      int limit = Integer.parseInt(example[2]);
      Scenario.parse("day.yaml", DAY.replace(example[0], example[1].formatted(limit - 1)));
      Scenario.parse("day.yaml", DAY.replace(example[0], example[1].formatted(limit)));
      String problem = problem(DAY.replace(example[0], example[1].formatted(limit + 1)));
      assertTrue(problem.contains((limit + 1) + " is not from 1 to " + limit), problem);
    }
  }

  /** A file truncated anywhere is rejected, or lacks only fields at its end that have defaults. */
  @Test
  void aTruncatedFileIsRejectedUnlessOnlyDefaultsAreMissing() {
    int rejected = 0;
    for (int length = 0; length < DAY.length(); length++) {
      try {
        Scenario.parse("day.yaml", DAY.substring(0, length));
      } catch (InputException e) {
        rejected++;
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
      }
    }
    assertTrue(rejected > DAY.length() - 12, "rejected: " + rejected + " of " + DAY.length());
  }

  @Test
  void aMissingFileIsRejected(@TempDir Path directory) {
    assertThrows(InputException.class, () -> Scenario.read(directory.resolve("none.yaml")));
  }

  @Test
  void theDeployedScenariosCanBeRead() throws Exception {
    try (Stream<Path> files = Files.list(Path.of("deploy/scenarios"))) {
      List<Path> given = files.filter(file -> file.toString().endsWith("-day.yaml")).toList();
      assertTrue(!given.isEmpty());
      for (Path file : given) {
        Scenario.read(file);
      }
    }
  }
}

package beampoint.count;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URL;
import java.net.URLClassLoader;
import org.junit.jupiter.api.Test;

/** Counting, and the checks of invariants. */
class CountersTest {

  @Test
  void countersArePrintedUnderTheirNames() {
    Counters counters = new Counters();
    counters.add(Counter.REQUESTS_TAKEN);
    counters.add(Counter.REQUESTS_TAKEN);
    assertEquals(2, counters.get(Counter.REQUESTS_TAKEN));
    assertTrue(counters.toString().contains(" requests_taken=2 "), counters.toString());
  }

  @Test
  void aPeakOnlyRises() {
    Counters counters = new Counters();
    counters.raise(Counter.MEMORY_HELD_PEAK_BYTES, 7);
    counters.raise(Counter.MEMORY_HELD_PEAK_BYTES, 5);
    assertEquals(7, counters.get(Counter.MEMORY_HELD_PEAK_BYTES));
  }

  @Test
  void violatedInvariantFailsAnAssertionInDebugBuilds() {
    Counters counters = new Counters();
    counters.check(true, "one is one");
    assertThrows(AssertionError.class, () -> counters.check(false, "one is two"));
  }

  /** A release must not fail on a violated invariant: its classes run without assertions and count it. */
  @Test
  void violatedInvariantIsCountedInReleases() throws Exception {
    URL classes = Counters.class.getProtectionDomain().getCodeSource().getLocation();
    try (URLClassLoader release = new URLClassLoader(new URL[] {classes}, null)) {
      release.setDefaultAssertionStatus(false);
      Class<?> type = release.loadClass(Counters.class.getName());
      Object counters = type.getConstructor().newInstance();
      type.getMethod("check", boolean.class, String.class)
          .invoke(counters, false, "one is two, injected by the test");
      assertTrue(counters.toString().endsWith("invariants_broken=1"), counters.toString());
    }
  }
}

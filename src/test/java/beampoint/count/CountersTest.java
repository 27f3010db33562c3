package beampoint.count;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Counting, and what must hold. */
class CountersTest {

  @Test
  void whatIsCountedIsPrintedUnderItsName() {
    Counters counters = new Counters();
    counters.add(Counter.REQUESTS_TAKEN);
    counters.add(Counter.REQUESTS_TAKEN);
    assertEquals(2, counters.get(Counter.REQUESTS_TAKEN));
    assertTrue(counters.toString().contains(" requests_taken=2 "), counters.toString());
  }

  @Test
  void whatMustHoldIsAssertedInDebugBuilds() {
    Counters counters = new Counters();
    counters.check(true, "one is one");
    assertThrows(AssertionError.class, () -> counters.check(false, "one is two"));
  }
}

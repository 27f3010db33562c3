package beampoint.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** The number of proxies that share the load, derived from the live members. */
class SiblingCountTest {

  @Test
  void aLowerNumberIsUsedAfterTheSettlingTimeAndAHigherOneAtOnce() {
    SiblingCount siblings = new SiblingCount(10, 5_000);
    assertEquals(10, siblings.update(0, 8, false));
    assertEquals(10, siblings.update(4_000, 7, false));
    assertEquals(8, siblings.update(5_000, 7, false), "the highest number observed meanwhile");
    assertEquals(8, siblings.update(6_000, 7, false));
    assertEquals(7, siblings.update(11_000, 7, false));
    assertEquals(12, siblings.update(11_100, 12, false));
  }

  @Test
  void aPossiblyIsolatedMemberOrAMinorityUsesTheConfiguredNumber() {
    SiblingCount siblings = new SiblingCount(10, 1_000);
    siblings.update(0, 6, false);
    assertEquals(6, siblings.update(1_000, 6, false));
    assertEquals(10, siblings.update(1_100, 5, false), "a minority");
    siblings.update(2_000, 6, false);
    assertEquals(6, siblings.update(3_000, 6, false));
    assertEquals(10, siblings.update(3_100, 6, true));
  }

  /**
   * However the view changes, the number is never below the highest one observed within the settling time.
   */
  @Test
  void theNumberNeverFallsBelowTheHighestObservedWithinTheSettlingTime() {
    Random random = new Random(4);
    SiblingCount siblings = new SiblingCount(20, 1_000);
    int[] observed = new int[2_000];
    for (int i = 0; i < observed.length; i++) {
      boolean mayBeIsolated = random.nextInt(50) == 0;
      int live = 1 + random.nextInt(25);
      observed[i] = mayBeIsolated || 2 * live <= 20 ? 20 : live;
      int number = siblings.update(100.0 * i, live, mayBeIsolated);
      assertTrue(number >= observed[i], "at " + i + ": " + number + " of " + observed[i]);
    }
  }
}

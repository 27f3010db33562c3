package beampoint.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** How many proxies share the load, by who lives. */
class SiblingsTest {

  @Test
  void aLowerNumberHoldsOnceItHasStoodAndAHigherOneAtOnce() {
    Siblings siblings = new Siblings(10, 5_000);
    assertEquals(10, siblings.number(0, 8, false));
    assertEquals(10, siblings.number(4_000, 7, false));
    assertEquals(8, siblings.number(5_000, 7, false), "the highest seen meanwhile");
    assertEquals(8, siblings.number(6_000, 7, false));
    assertEquals(7, siblings.number(11_000, 7, false));
    assertEquals(12, siblings.number(11_100, 12, false));
  }

  @Test
  void whoDoubtsItselfOrSeesAMinorityTakesTheConfiguredNumber() {
    Siblings siblings = new Siblings(10, 1_000);
    siblings.number(0, 6, false);
    assertEquals(6, siblings.number(1_000, 6, false));
    assertEquals(10, siblings.number(1_100, 5, false), "a minority");
    siblings.number(2_000, 6, false);
    assertEquals(6, siblings.number(3_000, 6, false));
    assertEquals(10, siblings.number(3_100, 6, true));
  }

  /** Whatever a view does, the number is never below what lived at some time of the last wait. */
  @Test
  void theNumberNeverFallsBelowTheHighestSeenWithinTheWait() {
    Random random = new Random(4);
    Siblings siblings = new Siblings(20, 1_000);
    int[] seen = new int[2_000];
    for (int i = 0; i < seen.length; i++) {
      boolean doubt = random.nextInt(50) == 0;
      int living = 1 + random.nextInt(25);
      seen[i] = doubt || 2 * living <= 20 ? 20 : living;
      int number = siblings.number(100.0 * i, living, doubt);
      assertTrue(number >= seen[i], "at " + i + ": " + number + " of " + seen[i]);
    }
  }
}

package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against work for clients whose close is still unread after a stall. All times are in ms. */
class SelectorPassesTest {

  private final SelectorPasses passes = new SelectorPasses(0);

  private static long nanos(double ms) {
    return (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
  }

  private void select(double startedAt, double maxWait, double endedAt) {
    passes.selected(nanos(startedAt), nanos(maxWait), nanos(endedAt));
  }

  private boolean mustReadAgain(double at) {
    return passes.mustReadAgain(nanos(at));
  }

  /** How long a selection may wait if no task or timer is due. */
  private long maxWait(double startedAt) {
    return passes.maxWaitMs(nanos(startedAt), Long.MAX_VALUE);
  }

  private void assertEarliestArrival(double ms) {
    assertEquals(nanos(ms), passes.earliestArrival());
  }

  @Test
  void whatEndsAWaitArrivedAtItsEnd() {
    select(1, 50, 40);
    assertEarliestArrival(40);
    assertFalse(mustReadAgain(41));
    assertEquals(SelectorPasses.MAX_WAIT_MS, maxWait(42));
  }

  @Test
  void whatIsFoundAfterAnOverlongWaitMayHaveArrivedSinceItsStart() {
    select(1, 50, 151);
    assertEarliestArrival(1);
    assertTrue(mustReadAgain(152));
    assertEquals(0, maxWait(152.9));
    select(153, 0, 153.1);
    assertEarliestArrival(1); // what this selection found may have arrived as early
    assertFalse(mustReadAgain(154));
    select(155, 50, 160);
    assertEarliestArrival(160);
  }

  /** A pause of 150 ms between the end of a pass's work and the next selection, which may itself be slow. */
  @Test
  void aPauseBetweenWorkAndSelectionIsDetected() {
    for (double slow : new double[] {0, 0.5, 1, 5, 20}) {
      SelectorPasses fresh = new SelectorPasses(0);
      fresh.selected(0, nanos(50), nanos(10));
      assertFalse(fresh.mustReadAgain(nanos(10.1))); // its work ends at 11, the pause at 161
      assertEquals(0, fresh.maxWaitMs(nanos(161), Long.MAX_VALUE));
      fresh.selected(nanos(161), 0, nanos(161 + slow));
      assertEquals(nanos(10), fresh.earliestArrival(), "a selection of " + slow);
      assertTrue(fresh.mustReadAgain(nanos(161 + slow)), "a selection of " + slow);
    }
  }

  /** A pause of 150 ms is detected whenever it begins: the longest wait ends well before the pause does. */
  @Test
  void aPauseOf150MsIsDetectedWheneverItBegins() {
    for (double maxWait = 1; maxWait <= SelectorPasses.MAX_WAIT_MS; maxWait++) {
      for (double pauseStart = 0; pauseStart <= maxWait; pauseStart++) {
        SelectorPasses fresh = new SelectorPasses(0);
        fresh.selected(0, nanos(maxWait), nanos(pauseStart + 150));
        assertTrue(fresh.mustReadAgain(nanos(pauseStart + 150)),
            pauseStart + " ms into a wait of " + maxWait);
        assertTrue(fresh.earliestArrival() <= nanos(pauseStart));
      }
    }
  }

  @Test
  void whatIsFoundAfterALongPassMayHaveArrivedSinceTheSelectionBefore() {
    select(1, 50, 10);
    assertFalse(mustReadAgain(10));
    assertEquals(0, maxWait(100)); // its work took 90
    select(100, 0, 105); // the selection was slow itself, and did not wait
    assertEarliestArrival(10);
    assertTrue(mustReadAgain(105));
    select(106, 0, 106);
    assertEarliestArrival(10);
    assertFalse(mustReadAgain(106));
  }

  /** The thread stalled while it read: closes may have arrived behind what it has read. */
  @Test
  void aReadThatTookLongIsFollowedByAnother() {
    select(1, 50, 10);
    assertTrue(mustReadAgain(40));
    select(41, 0, 41);
    assertEarliestArrival(10);
    assertFalse(mustReadAgain(41));
  }

  /** Guards against a thread that only reads: if each pass stalls, work continues after every second one. */
  @Test
  void itReadsAgainOnceInARowAtMost() {
    for (int i = 0; i < 10; i++) {
      select(200 * i, 50, 200 * i + 150);
      assertEquals(i % 2 == 0, mustReadAgain(200 * i + 151), "pass " + i);
    }
  }
}

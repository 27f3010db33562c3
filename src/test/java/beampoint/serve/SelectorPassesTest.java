package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against work for clients whose end lies unread after a stall; all times in ms. */
class SelectorPassesTest {

  private final SelectorPasses passes = new SelectorPasses(0);

  private static long nanos(double ms) {
    return (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
  }

  private void select(double askedAt, double longest, double endedAt) {
    passes.selected(nanos(askedAt), nanos(longest), nanos(endedAt));
  }

  private boolean readsAgain(double at) {
    return passes.mustReadAgain(nanos(at));
  }

  /** How long a selection may wait where nothing is due. */
  private long longestWait(double askedAt) {
    return passes.maxWaitMs(nanos(askedAt), Long.MAX_VALUE);
  }

  private void assertSince(double ms) {
    assertEquals(nanos(ms), passes.earliestArrival());
  }

  @Test
  void whatEndsAWaitCameThen() {
    select(1, 50, 40);
    assertSince(40);
    assertFalse(readsAgain(41));
    assertEquals(SelectorPasses.MAX_WAIT_MS, longestWait(42));
  }

  @Test
  void whatIsFoundAfterAWaitThatWasOverrunCanHaveComeSinceItBegan() {
    select(1, 50, 151);
    assertSince(1);
    assertTrue(readsAgain(152));
    assertEquals(0, longestWait(152.9));
    select(153, 0, 153.1);
    assertSince(1); // what this one found may have come as early
    assertFalse(readsAgain(154));
    select(155, 50, 160);
    assertSince(160);
  }

  /** A stop of 150 ms between the end of a pass's work and the next selection, also a slow one. */
  @Test
  void aStopBetweenWorkAndSelectionIsSeen() {
    for (double slow : new double[] {0, 0.5, 1, 5, 20}) {
      SelectorPasses fresh = new SelectorPasses(0);
      fresh.selected(0, nanos(50), nanos(10));
      assertFalse(fresh.mustReadAgain(nanos(10.1))); // its work ends at 11, the stop at 161
      assertEquals(0, fresh.maxWaitMs(nanos(161), Long.MAX_VALUE));
      fresh.selected(nanos(161), 0, nanos(161 + slow));
      assertEquals(nanos(10), fresh.earliestArrival(), "a selection of " + slow);
      assertTrue(fresh.mustReadAgain(nanos(161 + slow)), "a selection of " + slow);
    }
  }

  /** A stop of 150 ms, whenever it begins, is seen: the longest wait ends well before it does. */
  @Test
  void aStopOf150MsIsSeenWheneverItBegins() {
    for (double longest = 1; longest <= SelectorPasses.MAX_WAIT_MS; longest++) {
      for (double begins = 0; begins <= longest; begins++) {
        SelectorPasses fresh = new SelectorPasses(0);
        fresh.selected(0, nanos(longest), nanos(begins + 150));
        assertTrue(fresh.mustReadAgain(nanos(begins + 150)), begins + " ms into a wait of " + longest);
        assertTrue(fresh.earliestArrival() <= nanos(begins));
      }
    }
  }

  @Test
  void whatIsFoundAfterALongPassCanHaveComeSinceTheSelectionBefore() {
    select(1, 50, 10);
    assertFalse(readsAgain(10));
    assertEquals(0, longestWait(100)); // its work took 90
    select(100, 0, 105); // it was slow itself, and did not wait
    assertSince(10);
    assertTrue(readsAgain(105));
    select(106, 0, 106);
    assertSince(10);
    assertFalse(readsAgain(106));
  }

  /** The thread was held up while it read: ends may have come behind what it has read. */
  @Test
  void aReadThatTookLongIsFollowedByAnother() {
    select(1, 50, 10);
    assertTrue(readsAgain(40));
    select(41, 0, 41);
    assertSince(10);
    assertFalse(readsAgain(41));
  }

  /** Guards against a thread that only reads: where each pass is held up, work goes on after every second. */
  @Test
  void itReadsAgainOnceAtMost() {
    for (int i = 0; i < 10; i++) {
      select(200 * i, 50, 200 * i + 150);
      assertEquals(i % 2 == 0, readsAgain(200 * i + 151), "pass " + i);
    }
  }
}

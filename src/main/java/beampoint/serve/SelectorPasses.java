package beampoint.serve;

import java.util.concurrent.TimeUnit;

/**
 * What the decision thread knows of its passes: how long a selection may wait, when what it found can have
 * come, and whether all has to be read once more before anything is begun, as the thread was stalled. A pass
 * lasts from the end of one selection to the begin of the next. All times are by {@link System#nanoTime()}. A
 * pure state machine, of one thread.
 */
final class SelectorPasses {

  /**
   * The longest that a selection waits. Where a stop of the process ends within a longer wait it
   * can't be told from quiet; attempts may begin up to 100 ms after their client's close.
   */
  static final long LONGEST_WAIT_MS = 50;

  private static final long STALL_NANOS = 20_000_000; // by which a pass or a wait took longer

  private long number; // of selections so far
  private long foundAt; // the end of the last selection
  private long arrivedSince; // at the earliest, what it found
  private boolean stalled; // the last selection, or the pass before it
  private boolean selectionStalled;
  private boolean readsAgain; // all that is ready, since the thread was stalled

  SelectorPasses(long now) {
    foundAt = now;
    arrivedSince = now;
  }

  private boolean passStalled(long endedAt) {
    return endedAt - foundAt > STALL_NANOS;
  }

  /**
   * How many ms the next selection may wait, where nothing is due for so many ns. After a pass that was
   * stalled it does not wait, so that what it finds can be told from what comes in a wait.
   *
   * @param askedAt when the selection begins, as it is told to {@link #selected}
   */
  long longestWaitMs(long askedAt, long untilNextNanos) {
    if (untilNextNanos <= 0 || readsAgain || passStalled(askedAt)) {
      return 0;
    }
    return Math.min(LONGEST_WAIT_MS, TimeUnit.NANOSECONDS.toMillis(untilNextNanos) + 1);
  }

  /**
   * A selection has ended. What it found came at its end, or in a pass before it that was stalled, or, where
   * the selection took longer than it was to wait, at any time in it.
   */
  void selected(long askedAt, long longestNanos, long endedAt) {
    boolean passStalled = passStalled(askedAt);
    selectionStalled = endedAt - askedAt > longestNanos + STALL_NANOS;
    stalled = passStalled || selectionStalled;
    long since = passStalled ? foundAt : selectionStalled ? askedAt : endedAt;
    if (!readsAgain || since - arrivedSince < 0) {
      arrivedSince = since;
    }
    foundAt = endedAt;
    number++;
  }

  /**
   * True once after the thread was stalled: all that is ready is to be read again before work goes on, as a
   * client's end may lie unread behind what was read.
   */
  boolean mustReadAgain(long now) {
    readsAgain = (stalled || passStalled(now)) && !readsAgain;
    return readsAgain;
  }

  /** True where the last selection took longer than it was to wait. */
  boolean selectionWasStalled() {
    return selectionStalled;
  }

  /** The number of the last selection. */
  long number() {
    return number;
  }

  /** When what the last selection found can have come at the earliest. */
  long earliestArrival() {
    return arrivedSince;
  }
}

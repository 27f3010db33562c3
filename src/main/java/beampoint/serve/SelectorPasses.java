package beampoint.serve;

import java.util.concurrent.TimeUnit;

/**
 * The timing of the decision thread's passes: how long a selection may wait, the earliest time at which what
 * it found can have arrived, and whether a stall of the thread requires that everything is read once more
 * before work starts. A pass lasts from the end of one selection to the start of the next. All times are by
 * {@link System#nanoTime()}. A pure state machine, used by one thread.
 */
final class SelectorPasses {

  /**
   * The longest wait of a selection. If the process is paused and resumed within a longer wait, the pause
   * can't be distinguished from an idle period. An attempt may start at most 100 ms after its client has
   * closed the connection, so a pause must be noticed sooner than that.
   */
  static final long MAX_WAIT_MS = 50;

  /**
   * A pass that takes longer than this is stalled, and so is a selection that exceeds its maximum wait by
   * more than this.
   */
  private static final long STALL_NANOS = 20_000_000;

  private long passNumber; // the number of the last selection and the pass after it
  private long lastEndedAt; // the end of the last selection
  private long earliestArrival; // of what the last selection found
  private boolean stalled; // in the last selection or the pass before it
  private boolean selectionStalled; // the last selection took longer than it was to wait
  private boolean readsAgain; // everything ready is read once more because of a stall

  SelectorPasses(long now) {
    lastEndedAt = now;
    earliestArrival = now;
  }

  private boolean passStalled(long endedAt) {
    return endedAt - lastEndedAt > STALL_NANOS;
  }

  /**
   * Returns how many ms the next selection may wait. After a stalled pass it does not wait, so that what
   * arrived during the pass can be distinguished from what arrives during a wait.
   *
   * @param startedAt when the selection starts, the same as is passed to {@link #selected}
   * @param untilNextNanos the time until the next task or timer is due
   */
  long maxWaitMs(long startedAt, long untilNextNanos) {
    if (untilNextNanos <= 0 || readsAgain || passStalled(startedAt)) {
      return 0;
    }
    return Math.min(MAX_WAIT_MS, TimeUnit.NANOSECONDS.toMillis(untilNextNanos) + 1);
  }

  /**
   * Records a selection that has ended. What it found arrived at its end; or, if the pass before it was
   * stalled, at any time since that pass began; or, if the selection took longer than it was to wait, at any
   * time during it.
   */
  void selected(long startedAt, long maxWaitNanos, long endedAt) {
    boolean passStalled = passStalled(startedAt);
    selectionStalled = endedAt - startedAt > maxWaitNanos + STALL_NANOS;
    stalled = passStalled || selectionStalled;
    long arrival = passStalled ? lastEndedAt : selectionStalled ? startedAt : endedAt;
    if (!readsAgain || arrival - earliestArrival < 0) {
      earliestArrival = arrival;
    }
    lastEndedAt = endedAt;
    passNumber++;
  }

  /**
   * Called after each selection. Returns true the first time after a stall of the thread, and false the next
   * time: everything ready must be read again before work continues, because a client's close may be unread
   * behind the data that was read.
   */
  boolean mustReadAgain(long now) {
    readsAgain = (stalled || passStalled(now)) && !readsAgain;
    return readsAgain;
  }

  /** True if the last selection took longer than it was to wait. */
  boolean selectionWasStalled() {
    return selectionStalled;
  }

  /** The number of the current pass, which begins with the last selection. */
  long passNumber() {
    return passNumber;
  }

  /** The earliest time at which what the last selection found can have arrived. */
  long earliestArrival() {
    return earliestArrival;
  }
}

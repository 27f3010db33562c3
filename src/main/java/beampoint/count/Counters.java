package beampoint.count;

import beampoint.log.Log;
import java.util.concurrent.atomic.AtomicLongArray;

/** The values of all counters of one proxy. Thread-safe. */
public final class Counters {

  private static final Log LOG = Log.of("count");

  private final AtomicLongArray values = new AtomicLongArray(Counter.values().length);

  public void add(Counter counter) {
    values.incrementAndGet(counter.ordinal());
  }

  /** Adds a number to a counter, for example of bytes. */
  public void add(Counter counter, long number) {
    values.addAndGet(counter.ordinal(), number);
  }

  /** Raises a peak to a value that may exceed it. */
  public void raise(Counter peak, long value) {
    values.accumulateAndGet(peak.ordinal(), value, Math::max);
  }

  public long get(Counter counter) {
    return values.get(counter.ordinal());
  }

  /**
   * Checks an invariant. A violation fails an assertion where assertions are enabled (debug builds), and is
   * counted and logged in a release.
   */
  public void check(boolean holds, String invariant) {
    assert holds : invariant;
    if (!holds) {
      add(Counter.INVARIANTS_BROKEN);
      LOG.error("invariant violated: " + invariant);
    }
  }

  /** All counters in one line, as name=value, for the log. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (Counter counter : Counter.values()) {
      text.append(text.length() == 0 ? "" : " ").append(name(counter)).append('=').append(get(counter));
    }
    return text.toString();
  }

  /** The name under which a counter is printed. */
  public static String name(Counter counter) {
    return counter.name().toLowerCase(java.util.Locale.ROOT);
  }
}

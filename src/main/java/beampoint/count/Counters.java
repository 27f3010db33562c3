package beampoint.count;

import beampoint.log.Log;
import java.util.concurrent.atomic.AtomicLongArray;

/** The counters of one proxy; any thread may count. */
public final class Counters {

  private static final Log LOG = Log.of("count");

  private final AtomicLongArray values = new AtomicLongArray(Counter.values().length);

  public void add(Counter counter) {
    values.incrementAndGet(counter.ordinal());
  }

  /** Adds so many at once, as of bytes. */
  public void add(Counter counter, long number) {
    values.addAndGet(counter.ordinal(), number);
  }

  public long get(Counter counter) {
    return values.get(counter.ordinal());
  }

  /** What must hold: asserted where assertions are on (debug builds), counted and logged in a release. */
  public void check(boolean holds, String what) {
    assert holds : what;
    if (!holds) {
      add(Counter.INVARIANTS_BROKEN);
      LOG.error("does not hold: " + what);
    }
  }

  /** All counters in one line, for the log. */
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

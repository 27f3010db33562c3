package beampoint.log;

/**
 * Writes at most a number of lines a second, and tells how many it has left out. For events that can be as
 * frequent as requests. Confined to one thread.
 */
public final class RateLimitedLog {

  private static final long INTERVAL_NANOS = 1_000_000_000L;

  private final Log log;
  private final int maxLines; // in each interval
  private long intervalStart = System.nanoTime();
  private int lines; // written in the current interval
  private long omitted; // since the last line

  /** A log that writes at most so many lines a second. */
  public RateLimitedLog(Log log, int maxLinesPerSecond) {
    this.log = log;
    this.maxLines = maxLinesPerSecond;
  }

  /** True if a line may be written now; otherwise it is counted as left out. */
  public boolean mayWrite() {
    long now = System.nanoTime();
    if (now - intervalStart >= INTERVAL_NANOS) {
      intervalStart = now;
      lines = 0;
    }
    if (lines == maxLines) {
      omitted++;
      return false;
    }
    return true;
  }

  /** Writes a line; only after {@link #mayWrite()} has returned true. */
  public void info(String text) {
    lines++;
    log.info(omitted == 0 ? text : text + "; " + omitted + " lines like this were left out before");
    omitted = 0;
  }
}

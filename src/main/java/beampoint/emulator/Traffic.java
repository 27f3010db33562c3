package beampoint.emulator;

/** Counts the bytes that one host sends and receives: the mean per second and the largest second. */
final class Traffic {

  private static final double SECOND = 1_000;

  private double from;
  private double secondEnds;
  private long inSecond;
  private long worst;
  private long all;

  /** Discards the counts and starts again at this time. */
  void restart(double now) {
    from = now;
    secondEnds = now + SECOND;
    inSecond = 0;
    worst = 0;
    all = 0;
  }

  void add(double now, int bytes) {
    while (now >= secondEnds) {
      inSecond = 0;
      secondEnds += SECOND;
    }
    inSecond += bytes;
    worst = Math.max(worst, inSecond);
    all += bytes;
  }

  double meanOfSecond(double now) {
    return now <= from ? 0 : all / (now - from) * SECOND;
  }

  long worstSecond() {
    return worst;
  }
}

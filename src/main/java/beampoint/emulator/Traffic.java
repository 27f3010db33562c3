package beampoint.emulator;

/** Counts the bytes that one host sends and receives: the mean per second and the largest second. */
final class Traffic {

  private static final double MS_PER_SECOND = 1_000;

  private double measuredSince;
  private double currentSecondEnd;
  private long bytesInCurrentSecond;
  private long maxBytesPerSecond;
  private long totalBytes;

  /** Discards the counts and starts again at this time. */
  void restart(double now) {
    measuredSince = now;
    currentSecondEnd = now + MS_PER_SECOND;
    bytesInCurrentSecond = 0;
    maxBytesPerSecond = 0;
    totalBytes = 0;
  }

  void add(double now, int bytes) {
    while (now >= currentSecondEnd) {
      bytesInCurrentSecond = 0;
      currentSecondEnd += MS_PER_SECOND;
    }
    bytesInCurrentSecond += bytes;
    maxBytesPerSecond = Math.max(maxBytesPerSecond, bytesInCurrentSecond);
    totalBytes += bytes;
  }

  double meanBytesPerSecond(double now) {
    return now <= measuredSince ? 0 : totalBytes / (now - measuredSince) * MS_PER_SECOND;
  }

  long maxBytesPerSecond() {
    return maxBytesPerSecond;
  }
}

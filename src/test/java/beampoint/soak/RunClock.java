package beampoint.soak;

import java.util.concurrent.TimeUnit;

/** The time of one run in ms since its start, and the stalls of the machine that were measured meanwhile. */
final class RunClock {

  private static final long SAMPLE_INTERVAL_MS = 5;
  private static final double MIN_STALL_MS = 5; // smaller overruns are the normal scatter of a sleep

  private final long startNanos = System.nanoTime();
  private final StallTrace machineStalls = new StallTrace();
  private volatile double maxOverrunMs;
  private volatile boolean stopped;

  RunClock() {
    Thread thread = new Thread(this::measureStalls, "soak-clock");
    thread.setDaemon(true);
    thread.start();
  }

  private void measureStalls() {
    while (!stopped) {
      double before = now();
      sleep(SAMPLE_INTERVAL_MS);
      double after = now();
      double overrunMs = after - before - SAMPLE_INTERVAL_MS;
      maxOverrunMs = Math.max(maxOverrunMs, overrunMs);
      if (overrunMs > MIN_STALL_MS) {
        machineStalls.add("harness", before, after, overrunMs);
      }
    }
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** The longest overrun of a sleep of the harness, in ms. */
  double maxOverrunMs() {
    return maxOverrunMs;
  }

  /** When the harness or one of the processes had to wait for a processor. */
  StallTrace machineStalls() {
    return machineStalls;
  }

  void stop() {
    stopped = true;
  }

  /** Sleeps for a time in ms; an interrupt ends the sleep and the interrupt status stays set. */
  static void sleep(double ms) {
    try {
      TimeUnit.MICROSECONDS.sleep((long) (Math.max(0, ms) * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package beampoint.emulator;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Real time: tasks run on the thread that runs the clock; other threads post their socket events to it. */
final class WallClock extends Clock {

  private final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
  private final double startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();
  private final Histogram lateMicros = new Histogram(3_600_000_000L, 3);

  WallClock() {
    super(0);
  }

  /** Unix time in ms, which does not go backwards; comparable with the proxies' clocks. */
  @Override
  double now() {
    return startMillis + (System.nanoTime() - startNanos) / 1e6;
  }

  /** Runs a task on the clock's thread; may be called from any thread. */
  void post(Runnable task) {
    posted.add(task);
  }

  /** The 99th percentile of the tasks' lateness, in ms. */
  double lateness() {
    return lateMicros.getValueAtPercentile(99) / 1000.0;
  }

  @Override
  long runTo(double end) {
    long executed = 0;
    for (double now = now(); now < end; now = now()) {
      Task next = peek();
      if (next != null && next.at() <= now) {
        lateMicros.recordValue((long) (1000 * Math.max(0, now - next.at())));
        poll().run().run();
        executed++;
        continue;
      }
      double wait = Math.min(end, next == null ? end : next.at()) - now;
      executed += runPosted(wait);
    }
    return executed;
  }

  private long runPosted(double wait) {
    try {
      Runnable task = posted.poll((long) (wait * 1000), TimeUnit.MICROSECONDS);
      long executed = 0;
      for (; task != null; task = posted.poll()) {
        task.run();
        executed++;
      }
      return executed;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}

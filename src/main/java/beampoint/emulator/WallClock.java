package beampoint.emulator;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Real time: tasks run on the one thread that runs the clock; others hand in what came from sockets. */
final class WallClock extends Clock {

  private final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
  private final double startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();
  private final Histogram lateMicros = new Histogram(3_600_000_000L, 3);

  WallClock() {
    super(0);
  }

  /** Unix time that never goes back: the proxies compare it with theirs. */
  @Override
  double now() {
    return startMillis + (System.nanoTime() - startNanos) / 1e6;
  }

  /** From any thread. */
  void post(Runnable task) {
    posted.add(task);
  }

  /** How late the tasks ran: the time under which ninety-nine of a hundred were, in ms. */
  double lateness() {
    return lateMicros.getValueAtPercentile(99) / 1000.0;
  }

  @Override
  long runTo(double end) {
    long run = 0;
    for (double now = now(); now < end; now = now()) {
      Task due = peek();
      if (due != null && due.at() <= now) {
        lateMicros.recordValue((long) (1000 * Math.max(0, now - due.at())));
        poll().run().run();
        run++;
        continue;
      }
      double wait = Math.min(end, due == null ? end : due.at()) - now;
      run += takeIn(wait);
    }
    return run;
  }

  private long takeIn(double wait) {
    try {
      Runnable task = posted.poll((long) (wait * 1000), TimeUnit.MICROSECONDS);
      long run = 0;
      for (; task != null; task = posted.poll()) {
        task.run();
        run++;
      }
      return run;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}

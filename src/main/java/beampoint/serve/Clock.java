package beampoint.serve;

import java.util.function.DoubleSupplier;

/**
 * Monotonic Unix time in ms. It is Unix time because points of warming cache nodes are added to the ring at
 * steps of Unix time, at the same moments in all proxies, and because the start times of hosts in the host
 * list are Unix times. It is monotonic because measured durations must not be affected when the system clock
 * is set.
 */
final class Clock implements DoubleSupplier {

  private final double startedAt = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public double getAsDouble() {
    return startedAt + (System.nanoTime() - startNanos) / 1e6;
  }
}

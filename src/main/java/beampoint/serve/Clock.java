package beampoint.serve;

import java.util.function.DoubleSupplier;

/**
 * Monotonic Unix time in ms. The ring's steps and the start times of hosts need a clock that all machines
 * share, and measured durations must not be affected when the system clock is set.
 */
final class Clock implements DoubleSupplier {

  private final double startedAt = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public double getAsDouble() {
    return startedAt + (System.nanoTime() - startNanos) / 1e6;
  }
}

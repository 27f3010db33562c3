package beampoint.serve;

import java.util.function.DoubleSupplier;

/**
 * Unix time in ms that never goes back: the ring's steps and the hosts' starts need a clock common to all
 * machines, and what is measured must not see the system's clock being set.
 */
final class Clock implements DoubleSupplier {

  private final double startedAt = System.currentTimeMillis();
  private final long nanos = System.nanoTime();

  @Override
  public double getAsDouble() {
    return startedAt + (System.nanoTime() - nanos) / 1e6;
  }
}

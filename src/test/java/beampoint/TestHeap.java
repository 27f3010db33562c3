package beampoint;

import java.util.concurrent.TimeUnit;

/** Measures the heap of the JVM in which the tests run. */
public final class TestHeap {

  private static final int MEASUREMENTS = 5;
  private static final long INTERVAL_MS = 20;

  private TestHeap() {}

  /**
   * The bytes of all objects in use. It is the least of several measurements, because a garbage collection
   * is skipped while another thread is in native code that has direct access to an array.
   */
  public static long usedBytes() throws InterruptedException {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < MEASUREMENTS; i++) {
      System.gc();
      Runtime runtime = Runtime.getRuntime();
      least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
    }
    return least;
  }
}

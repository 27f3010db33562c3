package beampoint.transport;

/**
 * The times at which the bytes that the selector finds ready can have arrived. A request's deadline counts
 * from the arrival of its last byte, which is earlier than its read if the thread was busy or stopped in
 * between.
 */
public interface Arrivals {

  /** The earliest time at which what is read now can have arrived, in ms on the proxy's clock. */
  double earliest();

  /** The number of the current selector pass, which lasts from one selection to the next. */
  long passNumber();

  /**
   * Runs a task after the next read of all ready connections, before the tasks that result from that read.
   */
  void afterNextRead(Runnable task);
}

package beampoint.client;

import java.net.SocketAddress;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * Writes to the connection of one client, and measures whether the client reads. Confined to the decision
 * thread.
 */
final class AnswerWriter {

  private final Connection<SocketAddress> connection;
  private final DoubleSupplier clock;
  private final Runnable onWritten;
  private int inProgress;
  private double lastProgressAt; // when the last write ended, or the first of those in progress began, in ms

  /**
   * Creates the writer of a connection.
   *
   * @param onWritten is called after each write that has ended, unless the connection has failed
   */
  AnswerWriter(Connection<SocketAddress> connection, DoubleSupplier clock, Runnable onWritten) {
    this.connection = connection;
    this.clock = clock;
    this.onWritten = onWritten;
  }

  /** Writes a message, and calls back once it is written whole. */
  void write(Buffer message, Runnable onMessageWritten) {
    if (inProgress++ == 0) {
      lastProgressAt = clock.getAsDouble();
    }
    connection.write(message, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        inProgress--;
        lastProgressAt = clock.getAsDouble();
        onMessageWritten.run();
        onWritten.run();
      }
    });
  }

  /** True if all is written. */
  boolean isIdle() {
    return inProgress == 0;
  }

  /** For how long no write has ended, in ms. */
  double sinceProgress() {
    return clock.getAsDouble() - lastProgressAt;
  }
}

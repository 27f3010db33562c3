package beampoint.client;

import beampoint.transport.LingeringClose;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Closes a client connection after its last answer was written: waits until the system has sent all of it,
 * and then lingers, as a reset must not destroy what the client has not read. What is read meanwhile must be
 * discarded. Confined to the decision thread.
 */
final class ConnectionCloser {

  private enum Step {
    OPEN, EMPTIES_SEND_QUEUE, LINGERS, CLOSED
  }

  private final Connection<?> connection;
  private final Sessions sessions;
  private Step step = Step.OPEN;
  private double lingeringSince;
  private boolean waitedForClient; // to read what the system held
  private boolean evicted; // closed to make room for other connections

  ConnectionCloser(Connection<?> connection, Sessions sessions) {
    this.connection = connection;
    this.sessions = sessions;
  }

  /** The connection is closed to make room for others: it lingers only if an answer may be in transit. */
  void evict() {
    evicted = true;
  }

  /** Begins to close, unless that has begun already. Everything must be written. */
  void begin(AnswerWriter writer) {
    if (step == Step.OPEN) {
      step = Step.EMPTIES_SEND_QUEUE;
      SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
      sessions.sendQueues().whenEmpty(channel, () -> linger(writer));
      waitedForClient = step == Step.EMPTIES_SEND_QUEUE;
    }
  }

  private void linger(AnswerWriter writer) {
    if (step != Step.EMPTIES_SEND_QUEUE) {
      return;
    }
    step = Step.LINGERS;
    lingeringSince = sessions.now();
    if (evicted && !waitedForClient && writer.sinceProgress() > LingeringClose.LINGER_MS) {
      connection.terminateSilently(); // no answer is in transit that a reset could destroy
    } else {
      LingeringClose.begin(connection, sessions.loop());
    }
  }

  /** True while the system still holds a part of the last answers, as the client reads slowly. */
  boolean emptiesSendQueue() {
    return step == Step.EMPTIES_SEND_QUEUE;
  }

  /** True if the connection has been in its lingering close for at least so many ms. */
  boolean isLingeringFor(double timeMs) {
    return step == Step.LINGERS && sessions.now() - lingeringSince >= timeMs;
  }

  /** The connection has ended; nothing is begun any more. */
  void connectionClosed() {
    step = Step.CLOSED;
  }
}

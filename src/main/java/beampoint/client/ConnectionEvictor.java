package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.memcache.CommandFilter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Connection;

/** Closes inactive client connections if there are too many. Confined to the decision thread. */
final class ConnectionEvictor {

  private static final double CROWDED_LINGER_MS = 50; // of a lingering close, when room is needed

  private final Map<Connection<?>, Session> sessions; // least recently used first
  private final CommandFilter commandFilter;
  private final ClientListener listener;
  private final Counters counters;
  private final DoubleSupplier clock;
  private int threshold = 1; // the number of connections beyond which inactive ones are closed

  ConnectionEvictor(Map<Connection<?>, Session> sessions, CommandFilter commandFilter,
      ClientListener listener, Counters counters, DoubleSupplier clock) {
    this.sessions = sessions;
    this.commandFilter = commandFilter;
    this.listener = listener;
    this.counters = counters;
    this.clock = clock;
  }

  int threshold() {
    return threshold;
  }

  void setThreshold(int connections) {
    threshold = connections;
  }

  /**
   * Closes connections beyond the threshold, so that the limit is not reached: first those that have
   * not completed a command in time, then the longest idle. Many clients that only connect, or send one
   * request and stay connected, must not cost the other clients their connections, especially because the
   * clients' environment may allow fewer connections than this limit. Connections that were opened or began a
   * command recently may still be sending. They are closed only if they are more than a third of the
   * threshold, or if no idle ones are left and the maximum is reached: the one without progress for longest
   * first, so that clients that have stopped sending are closed before slow ones.
   *
   * @param except is not closed; may be null
   */
  void makeRoom(Session except) {
    double now = clock.getAsDouble();
    int excess = sessions.size() - threshold;
    for (Session session : List.copyOf(sessions.values())) {
      if (excess > 0 && session.closer().isLingeringFor(CROWDED_LINGER_MS)) {
        session.terminate();
        excess--;
      }
    }
    Deque<Session> overdue = new ArrayDeque<>(); // without a complete command in time
    Deque<Session> idle = new ArrayDeque<>();
    // Those that may still be sending a command, by the time of their last progress.
    Queue<Map.Entry<Double, Session>> sending = new PriorityQueue<>(Map.Entry.comparingByKey());
    int count = 0;
    for (Map.Entry<Connection<?>, Session> entry : sessions.entrySet()) {
      Session session = entry.getValue();
      count += session.isClosing() ? 0 : 1;
      if (session != except && session.isOpenAndIdle()) {
        boolean expectsCommand =
            session.hasSentNoCommand() || commandFilter.hasPartialCommand(entry.getKey());
        if (expectsCommand && now - session.inactiveSince() < Sessions.COMMAND_TIMEOUT_MS) {
          sending.add(
              Map.entry(Math.max(session.openedAt(), commandFilter.lastReadAt(entry.getKey())), session));
        } else {
          (expectsCommand ? overdue : idle).add(session);
        }
      }
    }
    int sendingCount = sending.size();
    while (count > threshold) {
      boolean evictsSending = sendingCount > threshold / 3
          || idle.isEmpty() && count >= listener.maxConnections();
      Session next = !overdue.isEmpty() ? overdue.poll()
          : evictsSending && sendingCount > 0 ? sending.poll().getValue() : idle.poll();
      if (next == null) {
        return;
      }
      sendingCount = sending.size();
      count--;
      counters.add(Counter.CLIENT_CONNECTIONS_CLOSED_FULL);
      next.evict();
    }
  }
}

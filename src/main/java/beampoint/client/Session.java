package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;
import beampoint.exchange.Intake;
import beampoint.memcache.Command;
import beampoint.memcache.Writer;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * One client connection: its commands are begun as they come and answered in their order. Belongs to the
 * decision thread.
 */
final class Session {

  /** The place of one command's answer. */
  private static final class Slot {
    private Exchange exchange;
    private Buffer answer;
    private boolean ends; // the connection, once this answer is written
  }

  private final Connection<SocketAddress> connection;
  private final Sessions sessions;
  private final Deque<Slot> slots = new ArrayDeque<>();
  private final CompletionHandler<WriteResult<Buffer, SocketAddress>> written =
      new EmptyCompletionHandler<>() {
        @Override
        public void completed(WriteResult<Buffer, SocketAddress> result) {
          sessions.loop().execute(Session.this::answerWritten);
        }
      };
  private double restsSince; // without a whole command, a half one once it has been seen
  private boolean spoke;
  private boolean half;
  private int unwritten;
  private boolean ended; // no command that comes after can be read
  private boolean closing;
  private boolean closed;

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  Session(Connection<?> connection, Sessions sessions, double openedAt) {
    this.connection = (Connection<SocketAddress>) connection;
    this.sessions = sessions;
    this.restsSince = openedAt;
  }

  /** True where nothing that was read is unanswered, also what waits as a task. */
  private boolean isIdle() {
    return sessions.pending(connection) == 0;
  }

  boolean isOpenAndIdle() {
    return !closing && isIdle();
  }

  /** True where no command has ever come that could be read. */
  boolean isSilent() {
    return !spoke;
  }

  /** Since when it has been without a whole command. */
  double restsSince() {
    return restsSince;
  }

  /** Closes the connection where nobody will use it: it says nothing, or half a command and no more. */
  void closeWhenStale(double now, boolean hasHalf, double silence, double idle) {
    if (closing || !isIdle()) {
      restsSince = now;
      return;
    }
    if (hasHalf && !half && spoke) {
      restsSince = now;
    }
    half = hasHalf;
    if (now - restsSince >= (spoke && !half ? idle : silence)) {
      sessions.counters().add(Counter.CLIENT_CONNECTIONS_CLOSED_STALE);
      closeWhenIdle();
    }
  }

  void command(Command command, double readAt) {
    if (closed || ended) {
      return;
    }
    spoke |= command.problem() == null;
    restsSince = readAt;
    Slot slot = new Slot();
    slots.add(slot);
    Writer writer = sessions.writer();
    Intake intake = sessions.intake();
    Counters counters = sessions.counters();
    switch (command.kind()) {
      case READ, WRITE -> request(slot, command, readAt);
      case READY -> slot.answer = writer.line(intake.isReady() ? "MN" : "SERVER_ERROR not ready");
      case STATS -> slot.answer = writer.line(stats(counters));
      case VERSION -> slot.answer = writer.line("VERSION beampoint");
      case QUIT -> {
        slots.removeLast();
        sessions.answered(connection);
        closing = true;
      }
      default -> {
        counters.add(Counter.BAD_COMMANDS);
        slot.answer = writer.line(command.problem());
        ended = command.kind() == Command.Kind.FATAL;
        slot.ends = ended;
      }
    }
    flush();
  }

  private void request(Slot slot, Command command, double readAt) {
    String problem = sessions.intake().problem(command);
    if (problem != null) {
      sessions.counters().add(Counter.BAD_COMMANDS);
      slot.answer = sessions.writer().line("CLIENT_ERROR " + problem);
      return;
    }
    slot.exchange = sessions.intake().take(command, readAt, answer -> {
      slot.answer = encode(command, answer);
      flush();
    });
  }

  private static String stats(Counters counters) {
    StringBuilder text = new StringBuilder();
    for (Counter counter : Counter.values()) {
      text.append("STAT ").append(Counters.name(counter)).append(' ').append(counters.get(counter))
          .append("\r\n");
    }
    return text.append("END").toString();
  }

  private Buffer encode(Command command, Answer answer) {
    Writer writer = sessions.writer();
    return switch (answer.kind()) {
      case VALUE -> writer.value(command.id(), answer.body());
      case RECEIPT -> writer.receipt(command.id(), answer.body());
      case REFUSED -> writer.line(answer.waitMs() > 0 ? "SERVER_ERROR busy " + answer.waitMs()
          : "SERVER_ERROR busy");
      case FAILED -> writer.line("SERVER_ERROR failed");
    };
  }

  /** Writes the answers that are next in the order of the commands. */
  private void flush() {
    while (!slots.isEmpty() && slots.peek().answer != null) {
      Slot slot = slots.poll();
      unwritten++;
      closing |= slot.ends;
      connection.write(slot.answer, written);
    }
    // Guards against closing on a command that was read and is about to come: it would be lost or, as the
    // client sends it again elsewhere, carried out twice. What comes after the close is not begun.
    if (closing && slots.isEmpty() && (ended || sessions.pending(connection) == unwritten)) {
      closed = true;
      connection.closeSilently(); // once all is written
    }
  }

  private void answerWritten() {
    unwritten--;
    sessions.answered(connection);
  }

  /** Closes the connection once all commands that were read are answered. */
  void closeWhenIdle() {
    closing = true;
    flush();
  }

  /** The connection has ended: the client has gone away. */
  void closed() {
    closed = true;
    for (Slot slot : slots) {
      if (slot.exchange != null) {
        sessions.intake().gone(slot.exchange);
      }
    }
    slots.clear();
  }
}

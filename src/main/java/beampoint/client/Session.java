package beampoint.client;

import beampoint.buffer.Stream;
import beampoint.count.Counter;
import beampoint.memcache.Command;
import beampoint.memcache.Command.Kind;
import beampoint.transport.LingeringClose;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * One client connection: its commands are started as they arrive and answered in their order (pipelining).
 * Confined to the decision thread.
 */
final class Session {

  private static final int MAX_PIPELINED = 32; // commands started and not answered
  private static final int REFUSALS_PER_TASK = 200;

  private final Connection<SocketAddress> connection;
  private final Sessions sessions;
  private final Deque<AnswerSlot> slots = new ArrayDeque<>();
  private final CommandBacklog backlog = new CommandBacklog();
  private final CompletionHandler<WriteResult<Buffer, SocketAddress>> onAnswerWritten =
      new EmptyCompletionHandler<>() {
        @Override
        public void completed(WriteResult<Buffer, SocketAddress> result) {
          sessions.loop().execute(Session.this::answerWritten);
        }
      };
  private final double openedAt;
  private double inactiveSince; // in ms; while commands are open, the time of the last check
  private boolean hasReadCommand;
  private boolean hadPartialCommand; // at the last check
  private int answersBeingWritten;
  private int writesInProgress;
  private double lastWriteProgressAt; // when the last write ended, or the first of those in progress began
  private int partialValueBytes; // read of an incomplete value, at the last check
  private boolean inputEnded; // after a fatal error: what follows can't be parsed
  private boolean closing; // to be closed once all commands are answered
  private boolean answersEnded; // nothing more is written; the connection may still linger
  private boolean clientGone; // the connection has ended; the task that handles that may still be queued
  private boolean lingering;
  private double lingeringSince;
  private boolean evicted; // closed to make room for other connections

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  Session(Connection<?> connection, Sessions sessions, double openedAt) {
    this.connection = (Connection<SocketAddress>) connection;
    this.sessions = sessions;
    this.openedAt = openedAt;
    this.inactiveSince = openedAt;
  }

  /** True if all that was read is answered, including commands in tasks that are still queued. */
  private boolean isIdle() {
    return sessions.pending(connection) == 0;
  }

  boolean isClosing() {
    return closing;
  }

  boolean isOpenAndIdle() {
    return !closing && isIdle();
  }

  /** True if no valid command was ever read. */
  boolean hasSentNoCommand() {
    return !hasReadCommand;
  }

  double openedAt() {
    return openedAt;
  }

  /** When the client last sent a complete command, the first part of one, or bytes of a value, in ms. */
  double inactiveSince() {
    return inactiveSince;
  }

  /**
   * Closes the connection if it is inactive for too long. Called periodically.
   *
   * @param hasPartialCommand true if the beginning of a command was read
   * @param valueBytes how many bytes were read of an incomplete value
   * @param commandTimeoutMs the limit before the first command and within a command
   * @param idleTimeoutMs the limit between commands
   */
  void closeIfStale(double now, boolean hasPartialCommand, int valueBytes, double commandTimeoutMs,
      double idleTimeoutMs) {
    boolean valueProgressed = valueBytes != partialValueBytes;
    partialValueBytes = valueBytes;
    if (closing || !isIdle() || valueProgressed) {
      inactiveSince = now;
      hadPartialCommand = hasPartialCommand;
      return;
    }
    if (hasPartialCommand && !hadPartialCommand && hasReadCommand) {
      inactiveSince = now;
    }
    hadPartialCommand = hasPartialCommand;
    if (now - inactiveSince >= (hasReadCommand && !hadPartialCommand ? idleTimeoutMs : commandTimeoutMs)) {
      sessions.counters().add(Counter.CLIENT_CONNECTIONS_CLOSED_STALE);
      closeWhenIdle();
    }
  }

  /**
   * Handles a command that was read. With {@link #MAX_PIPELINED} commands open it is queued, and discarded if
   * the connection ends before its turn; if the backlogs are full it is answered at once.
   */
  void handleCommand(Command command, double arrivedAt) {
    if (answersEnded || inputEnded || clientGone) {
      command.release();
      return;
    }
    hasReadCommand |= command.problem() == null;
    inactiveSince = arrivedAt;
    if (backlog.isEmpty() && hasRoom()) {
      start(command, arrivedAt);
      return;
    }
    boolean closes = command.kind() == Kind.QUIT || command.kind() == Kind.FATAL;
    sessions
        .addBacklogBytes(sessions.mustAnswerAtOnce() && !closes ? backlog.addAnswer(immediateAnswer(command))
            : backlog.add(command.copy(sessions.memory()), arrivedAt));
    closeIfBacklogsOverLimit();
  }

  private boolean hasRoom() {
    return slots.size() + answersBeingWritten < MAX_PIPELINED;
  }

  /** Answers the queued requests at once; a limited number per task, to let other connections run between. */
  void refuseQueuedRequests() {
    sessions.addBacklogBytes(-backlog.answerRequests(REFUSALS_PER_TASK, this::immediateAnswer));
    startQueued();
    if (backlog.hasRequests()) {
      sessions.loop().execute(this::refuseQueuedRequests);
    }
  }

  /** Closes the connection if the backlogs exceed their limit: answers take memory too, unless equal. */
  private void closeIfBacklogsOverLimit() {
    if (sessions.areBacklogsOverLimit()) {
      sessions.discardInput(connection);
      sessions.addBacklogBytes(backlog.add(Command.fatal("SERVER_ERROR too many commands"), sessions.now()));
    }
  }

  private String immediateAnswer(Command command) {
    if (!command.isRequest()) {
      return localAnswer(command);
    }
    String problem = rejectionLine(command);
    return problem != null ? problem : AnswerText.errorLine(sessions.requestHandler().refuse(command));
  }

  /** Starts queued commands until as many are open as may be. */
  private void startQueued() {
    while (!answersEnded && !clientGone && !backlog.isEmpty() && hasRoom()) {
      CommandBacklog.Entry next = backlog.poll();
      sessions.addBacklogBytes(-backlog.freedBy(next));
      if (next instanceof CommandBacklog.QueuedCommand queued && inputEnded) {
        queued.command().release();
      } else if (next instanceof CommandBacklog.QueuedCommand queued) {
        start(queued.command(), queued.arrivedAt());
      } else if (next instanceof CommandBacklog.QueuedAnswers answers && !inputEnded) {
        addAnswer(answers.line());
      }
    }
  }

  private void start(Command command, double arrivedAt) {
    switch (command.kind()) {
      case READ, WRITE -> {
        AnswerSlot slot = new AnswerSlot();
        slots.add(slot);
        startRequest(slot, command, arrivedAt);
        flush();
      }
      case QUIT -> {
        sessions.countAnswered(connection);
        closing = true;
        flush();
      }
      default -> {
        inputEnded = command.kind() == Kind.FATAL;
        addAnswer(localAnswer(command));
      }
    }
  }

  /** Adds an answer that is written in the order of the commands. */
  private void addAnswer(String line) {
    AnswerSlot slot = new AnswerSlot();
    slot.answer = sessions.writer().line(line);
    slot.closesConnection = inputEnded;
    slots.add(slot);
    flush();
  }

  /** The answer to a command that is not a request. */
  private String localAnswer(Command command) {
    return switch (command.kind()) {
      case READY -> sessions.requestHandler().isReady() ? "MN" : "SERVER_ERROR not ready";
      case STATS -> AnswerText.stats(sessions.counters());
      case VERSION -> "VERSION beampoint";
      default -> {
        sessions.counters().add(Counter.BAD_COMMANDS);
        yield command.problem();
      }
    };
  }

  /** The error line for an invalid request, which is released and counted, or null if it is valid. */
  private String rejectionLine(Command command) {
    String problem = sessions.requestHandler().rejectionReason(command);
    if (problem == null) {
      return null;
    }
    command.release();
    sessions.counters().add(Counter.BAD_COMMANDS);
    return "CLIENT_ERROR " + problem;
  }

  private void startRequest(AnswerSlot slot, Command command, double arrivedAt) {
    String problem = rejectionLine(command);
    if (problem != null) {
      slot.answer = sessions.writer().line(problem);
      return;
    }
    slot.command = command;
    slot.exchange = sessions.requestHandler().accept(command, arrivedAt, () -> clientGone, answer -> {
      slot.stream = answer.stream();
      slot.answer = slot.stream == null ? AnswerText.message(sessions.writer(), command, answer) : null;
      if (answersEnded && slot.stream != null) {
        slot.stream.cancel();
      }
      flush();
    });
  }

  /** Writes the answers that are next in the order of the commands; closes the connection after the last. */
  private void flush() {
    while (!slots.isEmpty() && slots.peek().answer != null) {
      AnswerSlot slot = slots.poll();
      closing |= slot.closesConnection;
      answersBeingWritten++;
      write(slot.answer, onAnswerWritten);
    }
    AnswerSlot next = slots.peek();
    if (next != null && next.stream != null && !next.streamStarted) {
      next.streamStarted = true;
      write(sessions.writer().valueHead(next.command.id(), next.stream.length()), null);
      next.stream.attach(new ValueSink(next));
    }
    // Not closed while a command that was read waits in a task. After the close it could get no answer: it
    // would be lost or, because the client repeats it elsewhere, executed twice. Commands that arrive after
    // the close are not started.
    if (closing && !answersEnded && slots.isEmpty()
        && (inputEnded || sessions.pending(connection) == answersBeingWritten)) {
      answersEnded = true;
      discardBacklog();
      sessions.discardInput(connection);
      if (evicted && writesInProgress == 0
          && sessions.now() - lastWriteProgressAt > LingeringClose.LINGER_MS) {
        connection.terminateSilently(); // no answer is in transit that a reset could destroy
      } else {
        lingerOnceWritten();
      }
    }
  }

  private void lingerOnceWritten() {
    if (answersEnded && !lingering && writesInProgress == 0) {
      lingering = true;
      lingeringSince = sessions.now();
      LingeringClose.begin(connection, sessions.loop());
    }
  }

  /** True if the connection has been in its lingering close for at least so many ms. */
  boolean isLingeringFor(double timeMs) {
    return answersEnded && lingering && sessions.now() - lingeringSince >= timeMs;
  }

  private void discardBacklog() {
    sessions.addBacklogBytes(-backlog.clear());
  }

  private void write(Buffer message, CompletionHandler<WriteResult<Buffer, SocketAddress>> handler) {
    if (writesInProgress++ == 0) {
      lastWriteProgressAt = sessions.now();
    }
    connection.write(message, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        writesInProgress--;
        lastWriteProgressAt = sessions.now();
        if (handler != null) {
          handler.completed(result);
        }
        lingerOnceWritten();
      }
    });
  }

  /** Writes the bytes of a long value as they are received. */
  private final class ValueSink implements Stream.Sink {
    private final AnswerSlot slot;
    private final Stream stream; // the slot's is cleared at the end, before the last bytes are written

    ValueSink(AnswerSlot slot) {
      this.slot = slot;
      this.stream = slot.stream;
    }

    @Override
    public void bytes(Buffer bytes) {
      int count = bytes.remaining();
      write(bytes, new EmptyCompletionHandler<>() {
        @Override
        public void completed(WriteResult<Buffer, SocketAddress> result) {
          sessions.loop().execute(() -> stream.written(count));
        }
      });
    }

    @Override
    public void complete() {
      slot.stream = null;
      slot.answer = sessions.writer().line(""); // the line end behind the value
      flush();
    }

    /** Ends the connection before the value's end, so that a truncated value does not look complete. */
    @Override
    public void failed() {
      answersEnded = true;
      connection.terminateSilently();
    }
  }

  /** True if a write has made no progress for longer than the timeout, as the client does not read. */
  boolean isStalled(double now, double timeoutMs) {
    return writesInProgress > 0 && now - lastWriteProgressAt > timeoutMs;
  }

  /** Ends the connection without flushing or lingering. */
  void terminate() {
    connection.terminateSilently();
  }

  private void answerWritten() {
    answersBeingWritten--;
    sessions.countAnswered(connection);
    startQueued();
  }

  /** Closes the connection once all commands that were read are answered. */
  void closeWhenIdle() {
    closing = true;
    flush();
  }

  /** Closes it to make room for others: without lingering, unless an answer may still be in transit. */
  void evict() {
    evicted = true;
    closeWhenIdle();
  }

  /** Notes that the connection has ended, for tasks that run before {@link #connectionClosed()}. */
  void markClientGone() {
    clientGone = true;
  }

  /** The connection has ended: cancels its open requests and discards its queue. */
  void connectionClosed() {
    answersEnded = true;
    lingering = true; // prevents lingerOnceWritten from starting a lingering close
    discardBacklog();
    for (AnswerSlot slot : slots) {
      if (slot.exchange != null) {
        sessions.requestHandler().clientGone(slot.exchange);
      }
      if (slot.stream != null) {
        slot.stream.cancel();
      }
    }
    slots.clear();
  }
}

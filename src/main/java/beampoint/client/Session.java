package beampoint.client;

import beampoint.buffer.Stream;
import beampoint.count.Counter;
import beampoint.exchange.Answer;
import beampoint.memcache.Command;
import beampoint.memcache.Command.Kind;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;

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
  private final AnswerMemory memory;
  private final DirectAnswers directAnswers;
  private final AnswerWriter writer;
  private final ConnectionCloser closer;
  private final double openedAt;
  private final ActivityTracker activity;
  private boolean hasReadCommand;
  private int answersBeingWritten;
  private boolean inputEnded; // after a fatal error: what follows can't be parsed
  private boolean closing; // to be closed once all commands are answered
  private boolean answersEnded; // nothing more is written; the connection may still linger
  private boolean clientGone; // the connection has ended; the task that handles that may still be queued

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  Session(Connection<?> connection, Sessions sessions, double openedAt) {
    this.connection = (Connection<SocketAddress>) connection;
    this.sessions = sessions;
    this.memory = new AnswerMemory(sessions.answerLimits());
    this.directAnswers =
        new DirectAnswers(sessions.requestHandler(), sessions.counters(), sessions.answerLimits());
    this.writer = new AnswerWriter(this.connection, sessions::now, this::closeOnceWritten);
    this.closer = new ConnectionCloser(connection, sessions);
    this.openedAt = openedAt;
    this.activity = new ActivityTracker(openedAt);
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
    return activity.inactiveSince();
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
    activity.check(now, closing || !isIdle(), hasPartialCommand, valueBytes, hasReadCommand);
    boolean awaitsCommand = !hasReadCommand || hasPartialCommand;
    if (now - activity.inactiveSince() >= (awaitsCommand ? commandTimeoutMs : idleTimeoutMs)) {
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
    activity.commandArrived(arrivedAt);
    if (backlog.isEmpty() && hasRoom() && !(command.isRequest() && sessions.hasUnreadInput(connection))) {
      start(command, arrivedAt);
      return;
    }
    boolean closes = command.kind() == Kind.QUIT || command.kind() == Kind.FATAL;
    boolean isAnswered = sessions.mustAnswerAtOnce() && !closes || command.isValueDiscarded();
    sessions.addBacklogBytes(isAnswered ? backlog.addAnswer(directAnswers.immediate(command))
        : backlog.add(command.copy(sessions.memory()), arrivedAt));
    closeIfBacklogsOverLimit();
  }

  /**
   * False if the next command is a request and the client may have closed the connection behind input that is
   * not read yet: the request would be sent to a server on behalf of a client that has gone.
   */
  private boolean mayStartNext() {
    return !backlog.nextIsRequest() || !sessions.hasUnreadInput(connection);
  }

  private boolean hasRoom() {
    return slots.size() + answersBeingWritten < MAX_PIPELINED && memory.mayStart();
  }

  /** Answers the queued requests at once; a limited number per task, to let other connections run between. */
  void refuseQueuedRequests() {
    sessions.addBacklogBytes(-backlog.answerRequests(REFUSALS_PER_TASK, directAnswers::immediate));
    startQueued();
    if (backlog.hasRequests()) {
      sessions.loop().execute(this::refuseQueuedRequests);
    }
  }

  /** Closes the connection if the backlogs exceed their limit: answers take memory too, unless equal. */
  private void closeIfBacklogsOverLimit() {
    if (sessions.areBacklogsOverLimit()) {
      sessions.counters().add(Counter.CLIENT_CONNECTIONS_CLOSED_BACKLOG);
      sessions.discardInput(connection);
      sessions.addBacklogBytes(backlog.add(Command.fatal("SERVER_ERROR too many commands"), sessions.now()));
    }
  }

  /** Starts queued commands until as many are open as may be. */
  void startQueued() {
    while (!answersEnded && !clientGone && !backlog.isEmpty() && hasRoom() && mayStartNext()) {
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
        addAnswer(directAnswers.local(command));
      }
    }
  }

  /** Adds an answer that is written in the order of the commands. */
  private void addAnswer(String line) {
    AnswerSlot slot = new AnswerSlot();
    setAnswer(slot, sessions.writer().line(line));
    slot.closesConnection = inputEnded;
    slots.add(slot);
    flush();
  }

  private void setAnswer(AnswerSlot slot, Buffer answer) {
    slot.answer = answer;
    memory.hold(answer.remaining());
  }

  private void startRequest(AnswerSlot slot, Command command, double arrivedAt) {
    String problem = directAnswers.rejection(command);
    boolean isRead = command.kind() == Kind.READ;
    if (problem == null && directAnswers.hasNoMemory(command)) {
      problem = AnswerText.errorLine(sessions.requestHandler().refuse(command));
    }
    if (problem != null) {
      setAnswer(slot, sessions.writer().line(problem));
      return;
    }
    slot.command = command;
    if (isRead) {
      memory.readStarted();
    }
    slot.exchange = sessions.requestHandler().accept(command, arrivedAt, () -> clientGone,
        answer -> answered(slot, answer));
  }

  private void answered(AnswerSlot slot, Answer answer) {
    slot.stream = answer.stream();
    if (slot.stream == null) {
      setAnswer(slot, AnswerText.message(sessions.writer(), slot.command, answer));
    } else if (answersEnded) {
      slot.stream.cancel();
    }
    if (slot.command.kind() == Kind.READ) {
      memory.readAnswered();
    }
    if (answer.kind() == Answer.Kind.VALUE && slot.stream == null) {
      sessions.answerLimits().valueReceived(slot.answer.remaining());
    }
    flush();
  }

  /** Writes the answers that are next in the order of the commands; closes the connection after the last. */
  private void flush() {
    while (!slots.isEmpty() && isAnswered(slots.peek())) {
      AnswerSlot slot = slots.poll();
      closing |= slot.closesConnection;
      writeAnswer(slot.answer);
    }
    AnswerSlot next = slots.peek();
    if (next != null && next.stream != null && !next.streamStarted) {
      next.streamStarted = true;
      writer.write(sessions.writer().valueHead(next.command.id(), next.stream.length()), () -> {});
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
      closeOnceWritten();
    }
  }

  /** True if a command has its answer; a value that broke off before its turn is answered as failed. */
  private boolean isAnswered(AnswerSlot slot) {
    if (slot.stream != null && slot.stream.hasFailedUnattached()) {
      slot.stream = null;
      setAnswer(slot, sessions.writer().line(AnswerText.errorLine(Answer.FAILED)));
    }
    return slot.answer != null;
  }

  private void closeOnceWritten() {
    if (answersEnded && writer.isIdle()) {
      closer.begin(writer);
    }
  }

  ConnectionCloser closer() {
    return closer;
  }

  private void discardBacklog() {
    sessions.addBacklogBytes(-backlog.clear());
  }

  private void writeAnswer(Buffer answer) {
    int bytes = answer.remaining();
    answersBeingWritten++;
    writer.write(answer, () -> {
      memory.release(bytes);
      sessions.loop().execute(this::answerWritten);
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
      memory.hold(count);
      writer.write(bytes, () -> {
        memory.release(count);
        sessions.loop().execute(() -> stream.written(count));
      });
    }

    @Override
    public void complete() {
      slot.stream = null;
      setAnswer(slot, sessions.writer().line("")); // the line end behind the value
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
  boolean isStalled(double timeoutMs) {
    return (closer.emptiesSendQueue() || !writer.isIdle()) && writer.sinceProgress() > timeoutMs;
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
    closer.evict();
    closeWhenIdle();
  }

  /** Notes that the connection has ended, for tasks that run before {@link #connectionClosed()}. */
  void markClientGone() {
    clientGone = true;
  }

  /** The connection has ended: cancels its open requests and discards its queue. */
  void connectionClosed() {
    answersEnded = true;
    closer.connectionClosed();
    memory.close();
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

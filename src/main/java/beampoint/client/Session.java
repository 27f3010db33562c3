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
 * One client connection: its commands are begun as they come and answered in their order. Belongs to the
 * decision thread.
 */
final class Session {

  private static final int MAX_OPEN = 32; // commands begun and not answered
  private static final int REFUSED_AT_ONCE = 200; // requests

  private final Connection<SocketAddress> connection;
  private final Sessions sessions;
  private final Deque<AnswerSlot> slots = new ArrayDeque<>();
  private final CommandBacklog backlog = new CommandBacklog();
  private final CompletionHandler<WriteResult<Buffer, SocketAddress>> written =
      new EmptyCompletionHandler<>() {
        @Override
        public void completed(WriteResult<Buffer, SocketAddress> result) {
          sessions.loop().execute(Session.this::answerWritten);
        }
      };
  private final double openedAt;
  private double restsSince; // without a whole command, a half one once it has been seen
  private boolean spoke;
  private boolean half;
  private int unwritten; // answers
  private int unfinished; // writes
  private double movedAt; // when the last of them ended
  private int valueBytes; // of a value on its way from the client
  private boolean ended; // no command that comes after can be read
  private boolean closing;
  private boolean closed;
  private boolean left; // the connection has ended, which may not be told yet
  private boolean lingers;
  private double lingersSince;
  private boolean makesRoom; // it is closed for others to come

  @SuppressWarnings("unchecked") // all connections of a TCP transport have socket addresses
  Session(Connection<?> connection, Sessions sessions, double openedAt) {
    this.connection = (Connection<SocketAddress>) connection;
    this.sessions = sessions;
    this.openedAt = openedAt;
    this.restsSince = openedAt;
  }

  /** True where nothing that was read is unanswered, also what waits as a task. */
  private boolean isIdle() {
    return sessions.pending(connection) == 0;
  }

  boolean isClosing() {
    return closing;
  }

  boolean isOpenAndIdle() {
    return !closing && isIdle();
  }

  /** True where no command has ever come that could be read. */
  boolean isSilent() {
    return !spoke;
  }

  double openedAt() {
    return openedAt;
  }

  /** Since when it has been without a whole command. */
  double restsSince() {
    return restsSince;
  }

  /** Closes the connection where nobody will use it: it says nothing, or half a command and no more. */
  void closeWhenStale(double now, boolean hasHalf, int bytes, double silence, double idle) {
    boolean moves = bytes != valueBytes;
    valueBytes = bytes;
    if (closing || !isIdle() || moves) {
      restsSince = now;
      half = hasHalf;
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

  /**
   * Takes a command that was read. Beyond a number that is open it waits for its turn, and is dropped with
   * the connection's end; where too much waits already it is answered at once.
   */
  void command(Command command, double readAt) {
    if (closed || ended || left) {
      command.release();
      return;
    }
    spoke |= command.problem() == null;
    restsSince = readAt;
    if (backlog.isEmpty() && hasRoom()) {
      begin(command, readAt);
      return;
    }
    boolean ends = command.kind() == Kind.QUIT || command.kind() == Kind.FATAL;
    sessions.countBacklog(sessions.mayNotWait() && !ends ? backlog.addAnswered(answerAtOnce(command))
        : backlog.add(command.apart(sessions.memory()), readAt));
    endWhereTooMuchWaits();
  }

  private boolean hasRoom() {
    return slots.size() + unwritten < MAX_OPEN;
  }

  /** Answers at once what waits behind others, some at a time for the other connections' sake. */
  void refuseQueuedRequests() {
    sessions.countBacklog(-backlog.answer(REFUSED_AT_ONCE, this::answerAtOnce));
    beginWaiting();
    if (backlog.hasRequests()) {
      sessions.loop().execute(this::refuseQueuedRequests);
    }
  }

  /** Answers that wait take memory too, unless they are alike. */
  private void endWhereTooMuchWaits() {
    if (sessions.backlogsAreOverfull()) {
      sessions.drop(connection);
      sessions.countBacklog(backlog.add(Command.fatal("SERVER_ERROR too many commands"), sessions.now()));
    }
  }

  private String answerAtOnce(Command command) {
    if (!command.isRequest()) {
      return answer(command);
    }
    String problem = problem(command);
    return problem != null ? problem : AnswerText.errorLine(sessions.requestHandler().refuse(command));
  }

  /** Begins what waits, as far as there is room. */
  private void beginWaiting() {
    while (!closed && !left && !backlog.isEmpty() && hasRoom()) {
      CommandBacklog.Entry next = backlog.poll();
      sessions.countBacklog(-backlog.freedBy(next));
      if (next instanceof CommandBacklog.Waiting waiting && ended) {
        waiting.command().release();
      } else if (next instanceof CommandBacklog.Waiting waiting) {
        begin(waiting.command(), waiting.readAt());
      } else if (next instanceof CommandBacklog.Answered answered && !ended) {
        add(answered.line());
      }
    }
  }

  private void begin(Command command, double readAt) {
    switch (command.kind()) {
      case READ, WRITE -> {
        AnswerSlot slot = new AnswerSlot();
        slots.add(slot);
        request(slot, command, readAt);
        flush();
      }
      case QUIT -> {
        sessions.answered(connection);
        closing = true;
        flush();
      }
      default -> {
        ended = command.kind() == Kind.FATAL;
        add(answer(command));
      }
    }
  }

  /** Adds an answer to those that are written in the order of the commands. */
  private void add(String line) {
    AnswerSlot slot = new AnswerSlot();
    slot.answer = sessions.writer().line(line);
    slot.ends = ended;
    slots.add(slot);
    flush();
  }

  /** The answer to what is no request. */
  private String answer(Command command) {
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

  /** What is wrong with a request that is not taken, worded for its client, or null. */
  private String problem(Command command) {
    String problem = sessions.requestHandler().rejectionReason(command);
    if (problem == null) {
      return null;
    }
    command.release();
    sessions.counters().add(Counter.BAD_COMMANDS);
    return "CLIENT_ERROR " + problem;
  }

  private void request(AnswerSlot slot, Command command, double readAt) {
    String problem = problem(command);
    if (problem != null) {
      slot.answer = sessions.writer().line(problem);
      return;
    }
    slot.command = command;
    slot.exchange = sessions.requestHandler().accept(command, readAt, () -> left, answer -> {
      slot.stream = answer.stream();
      slot.answer = slot.stream == null ? AnswerText.message(sessions.writer(), command, answer) : null;
      if (closed && slot.stream != null) {
        slot.stream.cancel();
      }
      flush();
    });
  }

  /** Writes the answers that are next in the order of the commands. */
  private void flush() {
    while (!slots.isEmpty() && slots.peek().answer != null) {
      AnswerSlot slot = slots.poll();
      closing |= slot.ends;
      unwritten++;
      write(slot.answer, written);
    }
    AnswerSlot next = slots.peek();
    if (next != null && next.stream != null && !next.streams) {
      next.streams = true;
      write(sessions.writer().valueHead(next.command.id(), next.stream.length()), null);
      next.stream.attach(new Rest(next));
    }
    // Guards against closing on a command that was read and is about to come: it would be lost or, as the
    // client sends it again elsewhere, carried out twice. What comes after the close is not begun.
    if (closing && !closed && slots.isEmpty() && (ended || sessions.pending(connection) == unwritten)) {
      closed = true;
      dropBacklog();
      sessions.drop(connection);
      if (makesRoom && unfinished == 0 && sessions.now() - movedAt > LingeringClose.LINGER_MS) {
        connection.terminateSilently(); // no answer is on its way that a reset could take with it
      } else {
        lingerOnceWritten();
      }
    }
  }

  private void lingerOnceWritten() {
    if (closed && !lingers && unfinished == 0) {
      lingers = true;
      lingersSince = sessions.now();
      LingeringClose.begin(connection, sessions.loop());
    }
  }

  /** True where it is over, and only lingers for the peer to see that, since so many ms. */
  boolean lingersFor(double time) {
    return closed && lingers && sessions.now() - lingersSince >= time;
  }

  private void dropBacklog() {
    sessions.countBacklog(-backlog.clear());
  }

  private void write(Buffer message, CompletionHandler<WriteResult<Buffer, SocketAddress>> handler) {
    if (unfinished++ == 0) {
      movedAt = sessions.now();
    }
    connection.write(message, new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Buffer, SocketAddress> result) {
        unfinished--;
        movedAt = sessions.now();
        if (handler != null) {
          handler.completed(result);
        }
        lingerOnceWritten();
      }
    });
  }

  /** The bytes of a long value, which go on as they come. */
  private final class Rest implements Stream.Sink {
    private final AnswerSlot slot;
    private final Stream stream; // the slot lets it go at its end, before its last bytes are written

    Rest(AnswerSlot slot) {
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
    public void whole() {
      slot.stream = null;
      slot.answer = sessions.writer().line("");
      flush();
    }

    /** Guards against a value that was cut off and looks whole: the connection ends before its end. */
    @Override
    public void broken() {
      closed = true;
      connection.terminateSilently();
    }
  }

  /** True where what was written has not moved for so long: the client does not read. */
  boolean isStalled(double now, double longest) {
    return unfinished > 0 && now - movedAt > longest;
  }

  /** Ends a connection that can't be of use any more. */
  void terminate() {
    connection.terminateSilently();
  }

  private void answerWritten() {
    unwritten--;
    sessions.answered(connection);
    beginWaiting();
  }

  /** Closes the connection once all commands that were read are answered. */
  void closeWhenIdle() {
    closing = true;
    flush();
  }

  /** The same for others to come: without lingering, unless an answer may be on its way. */
  void makeRoom() {
    makesRoom = true;
    closeWhenIdle();
  }

  /** The connection has ended; what follows of that comes as a task, behind others that are to know. */
  void leaves() {
    left = true;
  }

  /** The connection has ended: the client has gone away. */
  void closed() {
    closed = true;
    lingers = true; // nothing is left to be closed
    dropBacklog();
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

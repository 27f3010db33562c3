package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.memcache.Command.Kind;
import beampoint.transport.ReadAheadFilter;
import java.io.IOException;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.MemoryManager;

/** Parses the commands of clients: mg, ms, mn and a few without a key. */
public final class CommandFilter extends BaseFilter {

  static final int MAX_LINE = 4096; // in bytes
  static final int MAX_KEY = 250; // in bytes
  static final int MAX_ID = 32; // in bytes
  /** Values up to this length are not copied if they are contained in one buffer: slices of it are used. */
  static final int MAX_SLICED_VALUE_BYTES = 64 * 1024;
  /** The longest valid value, in bytes. */
  public static final int MAX_VALUE = 4 * 1024 * 1024;
  private static final int MAX_BAD_COMMANDS = 8; // on one connection
  private static final int MAX_DISCARDED_BYTES = 1024 * 1024; // read only to see the connection's end

  private final MemoryManager<?> memory;
  private final Budget budget;
  private final DoubleSupplier clock;
  private final ReadAheadFilter readAhead;

  /**
   * Creates the filter for the connections of all clients.
   *
   * @param readAhead the filter before this one; takes back what has to wait for the next selector pass
   */
  public CommandFilter(MemoryManager<?> memory, Budget budget, DoubleSupplier clock,
      ReadAheadFilter readAhead) {
    this.memory = memory;
    this.budget = budget;
    this.clock = clock;
    this.readAhead = readAhead;
  }

  /** The parser state of one connection. */
  private final class ReadState extends CommandReader {
    private int badCommands;
    private boolean discardsInput;
    private boolean hasPartialCommand;
    private double lastReadAt;
    private int discardedBytes;

    ReadState() {
      super(memory, budget);
    }
  }

  private final Attribute<ReadState> states =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("commands-read");

  private ReadState state(Connection<?> connection) {
    ReadState state = states.get(connection);
    if (state == null) {
      state = new ReadState();
      states.set(connection, state);
    }
    return state;
  }

  /** From here on reads and discards what arrives on a connection, so that its end is seen. */
  public void discardInput(Connection<?> connection) {
    ReadState state = state(connection);
    state.discardsInput = true;
    state.release();
  }

  /** True while a connection has sent the beginning of a command, and not the rest. */
  public boolean hasPartialCommand(Connection<?> connection) {
    return state(connection).hasPartialCommand;
  }

  /** When bytes were last read on a connection; 0 if none were. */
  public double lastReadAt(Connection<?> connection) {
    return state(connection).lastReadAt;
  }

  /** How many bytes of an incomplete value were read or discarded; 0 if there is none. */
  public int partialValueBytes(Connection<?> connection) {
    return state(connection).partialValueBytes();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) {
    ReadState state = states.get(ctx.getConnection());
    if (state != null) {
      state.release();
    }
    return ctx.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    ReadState state = state(ctx.getConnection());
    if (state.discardsInput) {
      // Discarding is limited too, for peers that never stop sending.
      state.discardedBytes += in.remaining();
      if (state.discardedBytes > MAX_DISCARDED_BYTES) {
        ctx.getConnection().disableIOEvent(IOEvent.READ);
      }
      return ctx.getStopAction();
    }
    Command command = state.parse(in);
    state.hasPartialCommand = command == null;
    state.lastReadAt = clock.getAsDouble();
    if (command == null) {
      return !in.hasRemaining() ? ctx.getStopAction()
          : ctx.getStopAction(in.isComposite() ? Collector.copy(memory, in) : in);
    }
    // Limits the work for clients that send invalid lines at full speed: each costs an answer.
    if (command.kind() == Kind.BAD && ++state.badCommands == MAX_BAD_COMMANDS) {
      command = Command.of(Kind.FATAL, command.problem());
    }
    ctx.setMessage(command);
    if (command.kind() == Kind.FATAL) {
      discardInput(ctx.getConnection());
      return ctx.getInvokeAction();
    }
    if (!in.hasRemaining()) {
      return ctx.getInvokeAction();
    }
    if (readAhead.mayParseMore(ctx.getConnection())) {
      return ctx.getInvokeAction(in);
    }
    readAhead.takeBack(ctx.getConnection(), in);
    return ctx.getInvokeAction();
  }
}

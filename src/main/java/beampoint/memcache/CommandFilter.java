package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.memcache.Command.Kind;
import java.io.IOException;
import java.util.function.Consumer;
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

/** Reads the commands of clients: mg, ms, mn and a few of no key. */
public final class CommandFilter extends BaseFilter {

  static final int MAX_LINE = 4096;
  static final int MAX_KEY = 250;
  static final int MAX_ID = 32;
  /** Values up to here are taken as they lie, where they have come in one piece. */
  static final int WHOLE_VALUE = 64 * 1024;
  public static final int MAX_VALUE = 4 * 1024 * 1024;
  private static final int MAX_BAD = 8; // commands that can't be taken, on one connection
  private static final int MAX_DROPPED = 1024 * 1024; // bytes that are read only to see a connection's end

  private final MemoryManager<?> memory;
  private final Budget budget;
  private final DoubleSupplier clock;
  private final Consumer<Connection<?>> whenReadOn;

  /**
   * A filter for all connections of clients.
   *
   * @param whenReadOn is called for each connection whose reading is enabled again
   */
  public CommandFilter(MemoryManager<?> memory, Budget budget, DoubleSupplier clock,
      Consumer<Connection<?>> whenReadOn) {
    this.memory = memory;
    this.budget = budget;
    this.clock = clock;
    this.whenReadOn = whenReadOn;
  }

  /** What was read of one connection. */
  private final class Reading extends CommandReader {
    private int bad;
    private boolean over;
    private boolean half;
    private double movedAt;
    private int dropped;

    Reading(Connection<?> connection) {
      super(memory, budget, () -> read(connection));
    }
  }

  private final Attribute<Reading> readings =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("commands-read");

  private Reading reading(Connection<?> connection) {
    Reading reading = readings.get(connection);
    if (reading == null) {
      reading = new Reading(connection);
      readings.set(connection, reading);
    }
    return reading;
  }

  private void read(Connection<?> connection) {
    try {
      connection.enableIOEvent(IOEvent.READ);
      whenReadOn.accept(connection);
    } catch (IOException e) {
      connection.terminateSilently();
    }
  }

  /** From here on what comes on a connection is read and dropped, so that its end is seen. */
  public void drop(Connection<?> connection) {
    Reading reading = reading(connection);
    reading.over = true;
    reading.release();
    if (reading.dropped <= MAX_DROPPED) {
      read(connection);
    }
  }

  /** True while a command has begun on a connection and is not whole. */
  public boolean hasHalf(Connection<?> connection) {
    return reading(connection).half;
  }

  /** When bytes last came on a connection; 0 if none have. */
  public double movedAt(Connection<?> connection) {
    return reading(connection).movedAt;
  }

  /** True while a value is on its way whose bytes may not be read, as there is no room for them. */
  public boolean isHeldUp(Connection<?> connection) {
    return reading(connection).isHeldUp();
  }

  /** How many bytes of a value that is not whole have come. */
  public int valueBytes(Connection<?> connection) {
    return reading(connection).valueBytes();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) {
    Reading reading = readings.get(ctx.getConnection());
    if (reading != null) {
      reading.release();
    }
    return ctx.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    Reading reading = reading(ctx.getConnection());
    if (reading.over) {
      // Guards against a peer that sends without end: of what is dropped, too, there is a most.
      reading.dropped += in.remaining();
      if (reading.dropped > MAX_DROPPED) {
        ctx.getConnection().disableIOEvent(IOEvent.READ);
      }
      return ctx.getStopAction();
    }
    Command command = reading.parse(in);
    reading.half = command == null;
    reading.movedAt = clock.getAsDouble();
    if (reading.isHeldUp()) {
      ctx.getConnection().disableIOEvent(IOEvent.READ);
    }
    if (command == null) {
      return !in.hasRemaining() ? ctx.getStopAction()
          : ctx.getStopAction(in.isComposite() ? Collector.copy(memory, in) : in);
    }
    // Guards against clients that send nonsense at full speed: each such line costs an answer.
    if (command.kind() == Kind.BAD && ++reading.bad == MAX_BAD) {
      command = Command.of(Kind.FATAL, command.problem());
    }
    ctx.setMessage(command);
    if (command.kind() == Kind.FATAL) {
      drop(ctx.getConnection());
      return ctx.getInvokeAction();
    }
    return in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
  }
}

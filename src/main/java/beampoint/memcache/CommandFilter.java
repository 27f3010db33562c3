package beampoint.memcache;

import beampoint.memcache.Command.Kind;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Reads the commands of clients: mg, ms, mn and a few of no key. */
public final class CommandFilter extends BaseFilter {

  static final int MAX_LINE = 4096;
  static final int MAX_KEY = 250;
  static final int MAX_ID = 32;
  static final int MAX_VALUE = 64 * 1024;
  private static final int MAX_BAD = 8; // commands that can't be taken, on one connection

  /** What was read of one connection. */
  private static final class Reading {
    private int bad;
    private boolean over;
    private boolean half;
  }

  private final Attribute<Reading> readings =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("commands-read", Reading::new);

  /** True while a command has begun on a connection and is not whole. */
  public boolean hasHalf(Connection<?> connection) {
    return readings.get(connection).half;
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    Reading reading = readings.get(ctx.getConnection());
    Command command = reading.over ? null : parse(in);
    reading.half = command == null && !reading.over;
    if (command == null) {
      return reading.over ? ctx.getStopAction() : ctx.getStopAction(in);
    }
    // Guards against clients that send nonsense at full speed: each such line costs an answer.
    if (command.kind() == Kind.BAD && ++reading.bad == MAX_BAD) {
      command = Command.of(Kind.FATAL, command.problem());
    }
    ctx.setMessage(command);
    if (command.kind() == Kind.FATAL) {
      reading.over = true;
      ctx.getConnection().disableIOEvent(IOEvent.READ);
      return ctx.getInvokeAction();
    }
    return in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
  }

  /** Takes one command off the buffer; null, and nothing taken, while it is not whole. */
  static Command parse(Buffer in) {
    Words words = Words.line(in);
    if ((words == null ? in.remaining() : words.after() - in.position()) > MAX_LINE) {
      // Guards against a line without an end: where the next command would begin is not known.
      in.position(in.limit());
      return Command.of(Kind.FATAL, "CLIENT_ERROR line too long");
    }
    if (words == null) {
      return null;
    }
    if (!words.next()) {
      in.position(words.after());
      return Command.of(Kind.BAD, "ERROR");
    }
    if (!words.isPlain()) {
      // Guards against control characters in a key or an id, which would end a line of the request sent on.
      in.position(in.limit());
      return Command.of(Kind.FATAL, "CLIENT_ERROR control character");
    }
    if (words.is("mg")) {
      return request(in, words, Kind.READ);
    }
    if (words.is("ms")) {
      return request(in, words, Kind.WRITE);
    }
    in.position(words.after());
    Kind kind = words.is("mn") ? Kind.READY : words.is("stats") ? Kind.STATS
        : words.is("version") ? Kind.VERSION : words.is("quit") ? Kind.QUIT : Kind.BAD;
    return Command.of(kind, kind == Kind.BAD ? "ERROR" : null);
  }

  private static Command request(Buffer in, Words words, Kind kind) {
    boolean hasKey = words.next() && words.length() <= MAX_KEY;
    Buffer key = hasKey ? words.slice(0) : null;
    Buffer value = null;
    int after = words.after();
    if (kind == Kind.WRITE) {
      int length = words.next() ? words.number() : -1;
      if (length < 0 || length > MAX_VALUE) {
        // Guards against reading a value as commands: without its length the next command can't be found.
        in.position(in.limit());
        return Command.of(Kind.FATAL, length < 0 ? "CLIENT_ERROR bad data chunk"
            : "SERVER_ERROR object too large for cache");
      }
      if (in.limit() - after < length + 2) {
        return null;
      }
      value = in.slice(after, after + length);
      after += length + 2;
      if (in.get(after - 2) != '\r' || in.get(after - 1) != '\n') {
        in.position(in.limit());
        return Command.of(Kind.FATAL, "CLIENT_ERROR bad data chunk");
      }
    }
    Buffer id = null;
    Buffer list = null;
    boolean wantsValue = false;
    boolean good = true;
    while (words.next()) {
      switch (words.first()) {
        case 'O' -> {
          good &= id == null && words.length() <= MAX_ID + 1;
          id = words.slice(1);
        }
        case 'P' -> {
          good &= list == null;
          list = words.slice(1);
        }
        default -> {
          good &= words.is("v") && !wantsValue;
          wantsValue = true;
        }
      }
    }
    in.position(after);
    if (!good || wantsValue != (kind == Kind.READ)) {
      return Command.of(Kind.BAD, "CLIENT_ERROR invalid flag");
    }
    if (!hasKey || id == null || list == null || !id.hasRemaining()) {
      return Command.of(Kind.BAD, "CLIENT_ERROR bad command line format");
    }
    return withList(kind, key, id, list, value);
  }

  /** Reads the list; a name may stand in it once, or it would mean one thing here and another further on. */
  private static Command withList(Kind kind, Buffer key, Buffer id, Buffer list, Buffer value) {
    Set<String> names = new HashSet<>();
    String requestClass = null;
    String tenant = null;
    int waitFrom = 0;
    int waitTo = 0;
    boolean good = true;
    int from = list.position();
    while (good && from <= list.limit()) {
      int to = find(list, ',', from, list.limit());
      int equals = find(list, '=', from, to);
      String name = Words.text(list, from, equals);
      good = equals > from && equals + 1 < to && names.add(name);
      if (good && name.equals("c")) {
        requestClass = Words.text(list, equals + 1, to);
      } else if (good && name.equals("t")) {
        tenant = Words.text(list, equals + 1, to);
      } else if (good && name.equals("d")) {
        waitFrom = equals + 1;
        waitTo = to;
      }
      from = to + 1;
    }
    int wait = Words.number(list, waitFrom, waitTo);
    if (!good || requestClass == null || wait < 0) {
      return Command.of(Kind.BAD, "CLIENT_ERROR class or time to wait missing");
    }
    return new Command(kind, key, id, list, waitFrom, waitTo, value, requestClass, tenant, wait, null);
  }

  private static int find(Buffer in, char sought, int from, int to) {
    int i = from;
    while (i < to && in.get(i) != sought) {
      i++;
    }
    return i;
  }
}

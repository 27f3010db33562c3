package beampoint.memcache;

import beampoint.memcache.Command.Kind;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Reads the commands of clients: mg, ms, mn and a few of no key. */
public final class CommandFilter extends BaseFilter {

  static final int MAX_LINE = 4096;
  static final int MAX_KEY = 250;
  static final int MAX_VALUE = 64 * 1024;

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    Command command = parse(in);
    if (command == null) {
      return ctx.getStopAction(in);
    }
    ctx.setMessage(command);
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
    String problem = null;
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
    while (words.next()) {
      switch (words.first()) {
        case 'O' -> id = words.slice(1);
        case 'P' -> list = words.slice(1);
        case 'v' -> problem = words.length() == 1 ? problem : "CLIENT_ERROR invalid flag";
        default -> problem = "CLIENT_ERROR invalid flag";
      }
    }
    in.position(after);
    if (problem != null || !hasKey || id == null || list == null || !id.hasRemaining()) {
      return Command.of(Kind.BAD, problem == null ? "CLIENT_ERROR bad command line format" : problem);
    }
    return withList(kind, key, id, list, value);
  }

  private static Command withList(Kind kind, Buffer key, Buffer id, Buffer list, Buffer value) {
    String requestClass = null;
    String tenant = null;
    int waitFrom = 0;
    int waitTo = 0;
    int from = list.position();
    while (from < list.limit()) {
      int to = from;
      while (to < list.limit() && list.get(to) != ',') {
        to++;
      }
      if (to - from >= 2 && list.get(from + 1) == '=') {
        switch ((char) list.get(from)) {
          case 'c' -> requestClass = Words.text(list, from + 2, to);
          case 't' -> tenant = Words.text(list, from + 2, to);
          case 'd' -> {
            waitFrom = from + 2;
            waitTo = to;
          }
          default -> { }
        }
      }
      from = to + 1;
    }
    int wait = wholePart(list, waitFrom, waitTo);
    if (requestClass == null || wait < 0) {
      return Command.of(Kind.BAD, "CLIENT_ERROR class or time to wait missing");
    }
    return new Command(kind, key, id, list, waitFrom, waitTo, value, requestClass, tenant, wait, null);
  }

  /** Milliseconds may have a fraction, which is dropped. */
  private static int wholePart(Buffer list, int from, int to) {
    int end = from;
    while (end < to && list.get(end) != '.') {
      end++;
    }
    return Words.number(list, from, end);
  }
}

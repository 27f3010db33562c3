package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.memcache.Command.Kind;
import beampoint.request.ParameterList;
import java.util.HashSet;
import java.util.Set;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Reads the commands of one connection; keeps what has come of a value that is not whole. */
class CommandReader {

  private final MemoryManager<?> memory;
  private final Budget budget;
  private final Runnable resume;
  private Command unfinished; // whose value is on its way
  private Collector value;
  private Budget.Claim claim;
  private int skip; // bytes of a value that nobody wants
  private boolean heldUp;

  /** The call back tells that more may be read, after {@link #isHeldUp()}. */
  CommandReader(MemoryManager<?> memory, Budget budget, Runnable resume) {
    this.memory = memory;
    this.budget = budget;
    this.resume = () -> {
      heldUp = false;
      resume.run();
    };
  }

  /** Takes one command off the buffer; null while it is not whole. A line is taken only as a whole. */
  Command parse(Buffer in) {
    return value != null || skip > 0 ? rest(in) : begin(in);
  }

  private Command begin(Buffer in) {
    LineScanner scanner = LineScanner.line(in);
    if ((scanner == null ? in.remaining() : scanner.after() - in.position()) > CommandFilter.MAX_LINE) {
      // Guards against a line without an end: where the next command would begin is not known.
      in.position(in.limit());
      return Command.of(Kind.FATAL, "CLIENT_ERROR line too long");
    }
    if (scanner == null) {
      return null;
    }
    if (!scanner.next()) {
      in.position(scanner.after());
      return Command.of(Kind.BAD, "ERROR");
    }
    if (!scanner.isPlain()) {
      // Guards against control characters in a key or an id, which would end a line of the request sent on.
      in.position(in.limit());
      return Command.of(Kind.FATAL, "CLIENT_ERROR control character");
    }
    if (scanner.is("mg")) {
      return request(in, scanner, Kind.READ);
    }
    if (scanner.is("ms")) {
      return request(in, scanner, Kind.WRITE);
    }
    in.position(scanner.after());
    Kind kind = scanner.is("mn") ? Kind.READY : scanner.is("stats") ? Kind.STATS
        : scanner.is("version") ? Kind.VERSION : scanner.is("quit") ? Kind.QUIT : Kind.BAD;
    return Command.of(kind, kind == Kind.BAD ? "ERROR" : null);
  }

  private Command request(Buffer in, LineScanner scanner, Kind kind) {
    boolean hasKey = scanner.next() && scanner.length() <= CommandFilter.MAX_KEY;
    Buffer key = hasKey ? scanner.slice(0) : null;
    int left = -1;
    if (kind == Kind.WRITE) {
      int length = scanner.next() ? scanner.number() : -1;
      if (length < 0 || length > CommandFilter.MAX_VALUE) {
        // Guards against reading a value as commands: without its length the next command can't be found.
        in.position(in.limit());
        return Command.of(Kind.FATAL, length < 0 ? "CLIENT_ERROR bad data chunk"
            : "SERVER_ERROR object too large for cache");
      }
      left = length;
    }
    Buffer id = null;
    Buffer list = null;
    boolean wantsValue = false;
    boolean good = true;
    while (scanner.next()) {
      switch (scanner.first()) {
        case 'O' -> {
          good &= id == null && scanner.length() <= CommandFilter.MAX_ID + 1;
          id = scanner.slice(1);
        }
        case 'P' -> {
          good &= list == null;
          list = scanner.slice(1);
        }
        default -> {
          good &= scanner.is("v") && !wantsValue;
          wantsValue = true;
        }
      }
    }
    in.position(scanner.after());
    Command command = command(kind, hasKey, key, id, list, good && wantsValue == (kind == Kind.READ));
    return kind == Kind.READ ? command : value(in, command, left);
  }

  private static Command command(Kind kind, boolean hasKey, Buffer key, Buffer id, Buffer list,
      boolean good) {
    if (!good) {
      return Command.of(Kind.BAD, "CLIENT_ERROR invalid flag");
    }
    if (!hasKey || id == null || list == null || !id.hasRemaining()) {
      return Command.of(Kind.BAD, "CLIENT_ERROR bad command line format");
    }
    return withList(kind, key, id, list);
  }

  /** Takes a value that has come in one piece as it lies; of others it collects what has come. */
  private Command value(Buffer in, Command command, int length) {
    int end = in.position() + length + 2;
    if (length <= CommandFilter.WHOLE_VALUE && end <= in.limit()) {
      Buffer whole = in.slice(end - length - 2, end);
      in.position(end);
      return finished(command, whole, null);
    }
    if (command.kind() == Kind.BAD) {
      skip = length + 2;
    } else {
      claim = budget.claim(resume);
      value = new Collector(memory, length + 2, claim);
    }
    unfinished = command.apart(memory);
    return rest(in);
  }

  /** Goes on with a value of which a part has come. */
  private Command rest(Buffer in) {
    if (value == null) {
      int count = Math.min(skip, in.remaining());
      in.position(in.position() + count);
      skip -= count;
      return skip > 0 ? null : unfinished;
    }
    heldUp = !value.add(in);
    if (!value.isWhole()) {
      return null;
    }
    Buffer whole = value.message();
    Budget.Claim held = claim;
    value = null;
    claim = null;
    heldUp = false;
    return finished(unfinished, whole, held);
  }

  private static Command finished(Command command, Buffer whole, Budget.Claim held) {
    int length = whole.remaining() - 2;
    int from = whole.position();
    if (whole.get(from + length) != '\r' || whole.get(from + length + 1) != '\n') {
      if (held != null) {
        held.release();
      }
      return Command.of(Kind.FATAL, "CLIENT_ERROR bad data chunk");
    }
    return command.kind() == Kind.BAD ? command : command.with(whole.slice(from, from + length), held);
  }

  /** True where no more of a value may be read for now. */
  boolean isHeldUp() {
    return heldUp;
  }

  /** How many bytes of a value that is not whole have come. */
  int valueBytes() {
    return value == null ? 0 : value.size();
  }

  /** What has come of a value is needed no more. */
  void release() {
    if (claim != null) {
      claim.release();
    }
    value = null;
    claim = null;
    heldUp = false;
  }

  /** Reads the list; a name may stand in it once, or it would mean one thing here and another further on. */
  private static Command withList(Kind kind, Buffer key, Buffer id, Buffer list) {
    Set<String> names = new HashSet<>();
    String requestClass = null;
    String tenant = null;
    int waitFrom = 0;
    int waitTo = 0;
    boolean isRetry = false;
    boolean good = true;
    int from = list.position();
    while (good && from <= list.limit()) {
      int to = find(list, ',', from, list.limit());
      int equals = find(list, '=', from, to);
      String name = LineScanner.text(list, from, equals);
      good = equals > from && equals + 1 < to && names.add(name);
      if (good && name.equals("c")) {
        requestClass = LineScanner.text(list, equals + 1, to);
      } else if (good && name.equals("t")) {
        tenant = LineScanner.text(list, equals + 1, to);
      } else if (good && name.equals("d")) {
        waitFrom = equals + 1;
        waitTo = to;
      } else if (good && name.equals("r")) {
        isRetry = LineScanner.text(list, equals + 1, to).equals("1");
      }
      from = to + 1;
    }
    int wait = LineScanner.number(list, waitFrom, waitTo);
    if (!good || requestClass == null || wait < 0) {
      return Command.of(Kind.BAD, "CLIENT_ERROR class or time to wait missing");
    }
    return new Command(kind, key, id, new ParameterList(list, waitFrom, waitTo), null, requestClass, tenant,
        wait, isRetry, null, null);
  }

  private static int find(Buffer in, char sought, int from, int to) {
    int i = from;
    while (i < to && in.get(i) != sought) {
      i++;
    }
    return i;
  }
}

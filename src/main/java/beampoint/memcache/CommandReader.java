package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.memcache.Command.Kind;
import beampoint.request.ParameterList;
import java.util.HashSet;
import java.util.Set;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Parses the commands of one connection; keeps the part of an incomplete value that was read. */
class CommandReader {

  private final MemoryManager<?> memory;
  private final Budget budget;
  private Command partial; // whose value is not complete
  private int partialLength; // of its value and the line end behind it
  private Collector value;
  private int bytesToSkip; // of a value that is discarded

  /** Creates the parser of one connection. */
  CommandReader(MemoryManager<?> memory, Budget budget) {
    this.memory = memory;
    this.budget = budget;
  }

  /**
   * Takes one command off the buffer; null while it is incomplete. An incomplete line stays in the buffer.
   */
  Command parse(Buffer in) {
    return value != null || bytesToSkip > 0 ? continueValue(in) : parseLine(in);
  }

  private Command parseLine(Buffer in) {
    LineScanner scanner = LineScanner.line(in);
    if ((scanner == null ? in.remaining()
        : scanner.nextLineStart() - in.position()) > CommandFilter.MAX_LINE) {
      // Fatal, as the start of the next command is not known.
      in.position(in.limit());
      return Command.of(Kind.FATAL, "CLIENT_ERROR line too long");
    }
    if (scanner == null) {
      return null;
    }
    if (!scanner.nextWord()) {
      in.position(scanner.nextLineStart());
      return Command.of(Kind.BAD, "ERROR");
    }
    if (!scanner.isPlain()) {
      // A control character in a key or id could end a line of the request to a server, and inject another.
      in.position(in.limit());
      return Command.of(Kind.FATAL, "CLIENT_ERROR control character");
    }
    if (scanner.wordIs("mg")) {
      return parseRequest(in, scanner, Kind.READ);
    }
    if (scanner.wordIs("ms")) {
      return parseRequest(in, scanner, Kind.WRITE);
    }
    in.position(scanner.nextLineStart());
    Kind kind = scanner.wordIs("mn") ? Kind.READY : scanner.wordIs("stats") ? Kind.STATS
        : scanner.wordIs("version") ? Kind.VERSION : scanner.wordIs("quit") ? Kind.QUIT : Kind.BAD;
    return Command.of(kind, kind == Kind.BAD ? "ERROR" : null);
  }

  private Command parseRequest(Buffer in, LineScanner scanner, Kind kind) {
    boolean hasKey = scanner.nextWord() && scanner.length() <= CommandFilter.MAX_KEY;
    Buffer key = hasKey ? scanner.slice(0) : null;
    int valueLength = -1;
    if (kind == Kind.WRITE) {
      int length = scanner.nextWord() ? scanner.number() : -1;
      if (length < 0 || length > CommandFilter.MAX_VALUE) {
        // Fatal, as without the value's length it would be parsed as commands.
        in.position(in.limit());
        return Command.of(Kind.FATAL, length < 0 ? "CLIENT_ERROR bad data chunk"
            : "SERVER_ERROR object too large for cache");
      }
      valueLength = length;
    }
    Buffer id = null;
    Buffer list = null;
    boolean wantsValue = false;
    boolean validFlags = true;
    while (scanner.nextWord()) {
      switch (scanner.firstChar()) {
        case 'O' -> {
          validFlags &= id == null && scanner.length() <= CommandFilter.MAX_ID + 1;
          id = scanner.slice(1);
        }
        case 'P' -> {
          validFlags &= list == null;
          list = scanner.slice(1);
        }
        default -> {
          validFlags &= scanner.wordIs("v") && !wantsValue;
          wantsValue = true;
        }
      }
    }
    in.position(scanner.nextLineStart());
    Command command =
        command(kind, hasKey, key, id, list, validFlags && wantsValue == (kind == Kind.READ));
    return kind == Kind.READ ? command : startValue(in, command, valueLength);
  }

  private static Command command(Kind kind, boolean hasKey, Buffer key, Buffer id, Buffer list,
      boolean validFlags) {
    if (!validFlags) {
      return Command.of(Kind.BAD, "CLIENT_ERROR invalid flag");
    }
    if (!hasKey || id == null || list == null || !id.hasRemaining()) {
      return Command.of(Kind.BAD, "CLIENT_ERROR bad command line format");
    }
    return parseParameters(kind, key, id, list);
  }

  /**
   * Reads a value: one that is contained in the buffer as a slice of it, else starts to collect its parts. A
   * value for which there is no memory is discarded as it arrives.
   */
  private Command startValue(Buffer in, Command command, int length) {
    int lengthWithLineEnd = length + 2;
    int end = in.position() + lengthWithLineEnd;
    if (length <= CommandFilter.MAX_SLICED_VALUE_BYTES && end <= in.limit()) {
      Buffer valueAndLineEnd = in.slice(in.position(), end);
      in.position(end);
      Budget.Claim sliceClaim = budget.claimValue(lengthWithLineEnd, () -> {}); // it is complete at once
      return sliceClaim.add(lengthWithLineEnd) ? complete(command, valueAndLineEnd, sliceClaim)
          : command.copy(memory); // its slices would keep the whole buffer
    }
    partialLength = lengthWithLineEnd;
    partial = command.copy(memory);
    if (command.kind() == Kind.BAD) {
      bytesToSkip = lengthWithLineEnd;
    } else {
      value = new Collector(memory, lengthWithLineEnd,
          budget.claimValue(lengthWithLineEnd, this::discardValue));
    }
    return continueValue(in);
  }

  /** Continues to collect or skip a value. */
  private Command continueValue(Buffer in) {
    if (value != null && !value.add(in)) {
      discardValue();
    }
    if (value == null) {
      int count = Math.min(bytesToSkip, in.remaining());
      in.position(in.position() + count);
      bytesToSkip -= count;
      return bytesToSkip > 0 ? null : partial;
    }
    if (!value.isComplete()) {
      return null;
    }
    Collector whole = value;
    value = null;
    return complete(partial, whole.message(), whole.claim());
  }

  /** There is no memory for the value: discards what was read of it, and skips the rest. */
  private void discardValue() {
    bytesToSkip = partialLength - value.size();
    release();
  }

  private static Command complete(Command command, Buffer valueAndLineEnd, Budget.Claim claim) {
    int length = valueAndLineEnd.remaining() - 2;
    int from = valueAndLineEnd.position();
    boolean hasLineEnd =
        valueAndLineEnd.get(from + length) == '\r' && valueAndLineEnd.get(from + length + 1) == '\n';
    if (hasLineEnd && command.kind() != Kind.BAD) {
      return command.withValue(valueAndLineEnd.slice(from, from + length), claim);
    }
    claim.release();
    return hasLineEnd ? command : Command.of(Kind.FATAL, "CLIENT_ERROR bad data chunk");
  }

  /** How many bytes of an incomplete value were read or discarded; 0 if there is none. */
  int partialValueBytes() {
    return value != null ? value.size() : bytesToSkip > 0 ? partialLength - bytesToSkip : 0;
  }

  /** Discards what was read of an incomplete value. */
  void release() {
    if (value != null) {
      value.release();
      value = null;
    }
  }

  /**
   * Parses the parameter list. A duplicate name is an error, as the proxy and a server could take different
   * ones of its values.
   */
  private static Command parseParameters(Kind kind, Buffer key, Buffer id, Buffer list) {
    Set<String> names = new HashSet<>();
    String requestClass = null;
    String tenant = null;
    int waitStart = 0;
    int waitEnd = 0;
    boolean isRetry = false;
    boolean valid = true;
    int from = list.position();
    while (valid && from <= list.limit()) {
      int to = find(list, ',', from, list.limit());
      int equals = find(list, '=', from, to);
      String name = LineScanner.text(list, from, equals);
      valid = equals > from && equals + 1 < to && names.add(name);
      if (valid && name.equals("c")) {
        requestClass = LineScanner.text(list, equals + 1, to);
      } else if (valid && name.equals("t")) {
        tenant = LineScanner.text(list, equals + 1, to);
      } else if (valid && name.equals("d")) {
        waitStart = equals + 1;
        waitEnd = to;
      } else if (valid && name.equals("r")) {
        isRetry = LineScanner.text(list, equals + 1, to).equals("1");
      }
      from = to + 1;
    }
    int wait = LineScanner.number(list, waitStart, waitEnd);
    if (!valid || requestClass == null || wait < 0) {
      return Command.of(Kind.BAD, "CLIENT_ERROR class or time to wait missing");
    }
    return new Command(kind, key, id, new ParameterList(list, waitStart, waitEnd), null, requestClass, tenant,
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

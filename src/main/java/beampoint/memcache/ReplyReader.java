package beampoint.memcache;

import beampoint.buffer.Collector;
import beampoint.memcache.Reply.Kind;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Reads the answers on one connection; keeps what has come of a value that is held until it is whole. */
final class ReplyReader {

  private static final int MAX_LOAD = 200; // of a report; a longer one is none

  private final MemoryManager<?> memory;
  private Buffer id; // of the value that is collected
  private String load; // that came with it
  private Collector value;
  private int streams; // bytes of a long value that have not come, with the line's end behind it

  ReplyReader(MemoryManager<?> memory) {
    this.memory = memory;
  }

  /** Takes a {@link Reply} or a {@link ReplyPart} off the buffer; null where more must come first. */
  Object parse(Buffer in) {
    return streams > 0 ? part(in) : value != null ? collect(in) : begin(in);
  }

  /** What the words behind an answer's kind tell; an id that stands there twice names nothing. */
  private record Tail(Buffer id, Buffer receipt, String load) {

    static Tail of(LineScanner scanner) {
      Buffer id = null;
      Buffer receipt = null;
      String load = null;
      int ids = 0;
      while (scanner.next()) {
        if (scanner.first() == 'O') {
          id = scanner.slice(1);
          ids++;
        } else if (scanner.first() == 'c') {
          receipt = scanner.slice(1);
        } else if (scanner.first() == 'L' && scanner.length() <= MAX_LOAD) {
          load = scanner.slice(1).toStringContent(StandardCharsets.ISO_8859_1);
        }
      }
      return new Tail(ids == 1 ? id : null, receipt, load);
    }
  }

  private Reply begin(Buffer in) {
    LineScanner scanner = LineScanner.line(in);
    if (scanner == null && in.remaining() <= CommandFilter.MAX_LINE) {
      return null;
    }
    if (scanner == null || !scanner.next()) {
      return bad(in);
    }
    int after = scanner.after();
    if (scanner.is("VA")) {
      int length = scanner.next() ? scanner.number() : -1;
      return length < 0 || length > ReplyFilter.MAX_VALUE ? bad(in) : value(in, scanner, length);
    }
    in.position(after);
    if (scanner.is("HD") || scanner.is("EN")) {
      Kind said = scanner.is("HD") ? Kind.RECEIPT : Kind.MISS;
      Tail tail = Tail.of(scanner);
      return new Reply(said, tail.id, said == Kind.MISS ? null : tail.receipt, in.hasRemaining(), tail.load);
    }
    Kind kind =
        scanner.is("MN") ? Kind.ALIVE : scanner.is("ERROR") || scanner.is("CLIENT_ERROR") ? Kind.FAILED
            : !scanner.is("SERVER_ERROR") ? Kind.BAD : scanner.next() && scanner.is("busy") ? Kind.BUSY
            : Kind.FAILED;
    return kind == Kind.BAD ? bad(in)
        : new Reply(kind, null, null, in.hasRemaining(), Tail.of(scanner).load);
  }

  private Reply value(Buffer in, LineScanner scanner, int length) {
    Tail tail = Tail.of(scanner);
    Buffer own = tail.id;
    load = tail.load;
    in.position(scanner.after());
    if (length > ReplyFilter.WHOLE_VALUE) {
      streams = length + 2;
      Buffer copy = own == null ? null : Collector.copy(memory, own);
      return new Reply(Kind.VALUE, copy, null, false, length, load);
    }
    if (in.remaining() >= length + 2) {
      int from = in.position();
      in.position(from + length + 2);
      return whole(own, in.slice(from, from + length + 2), in);
    }
    id = own == null ? null : Collector.copy(memory, own);
    value = new Collector(memory, length + 2, null);
    return collect(in);
  }

  private Reply collect(Buffer in) {
    value.add(in);
    if (!value.isComplete()) {
      return null;
    }
    Buffer whole = value.message();
    value = null;
    return whole(id, whole, in);
  }

  private Reply whole(Buffer id, Buffer value, Buffer in) {
    int from = value.position();
    int end = value.limit() - 2;
    if (value.get(end) != '\r' || value.get(end + 1) != '\n') {
      return bad(in);
    }
    return new Reply(Kind.VALUE, id, value.slice(from, end), in.hasRemaining(), load);
  }

  private Object part(Buffer in) {
    if (!in.hasRemaining()) {
      return null;
    }
    if (streams > 2) {
      int count = Math.min(streams - 2, in.remaining());
      Buffer bytes = in.slice(in.position(), in.position() + count);
      in.position(in.position() + count);
      streams -= count;
      return new ReplyPart(bytes, false, false);
    }
    for (; streams > 0 && in.hasRemaining(); streams--) {
      if (in.get() != (streams == 2 ? '\r' : '\n')) {
        return bad(in);
      }
    }
    return streams > 0 ? null : new ReplyPart(Buffers.EMPTY_BUFFER, true, in.hasRemaining());
  }

  private static Reply bad(Buffer in) {
    in.position(in.limit());
    return new Reply(Kind.BAD, null, null, false, null);
  }
}

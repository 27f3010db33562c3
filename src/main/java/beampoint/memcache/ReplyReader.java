package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.memcache.Reply.Kind;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Parses the replies on one connection; keeps the part of an incomplete value that was read. */
final class ReplyReader {

  private static final int MAX_LOAD_LENGTH = 200; // of a load report; a longer one is ignored

  private final MemoryManager<?> memory;
  private final Budget budget;
  private Buffer id; // of the value that is collected
  private String loadReport; // the load report of that value
  private Collector value;
  private int streamBytesLeft; // of a long value and the line end behind it

  /** Creates the parser of one connection. */
  ReplyReader(MemoryManager<?> memory, Budget budget) {
    this.memory = memory;
    this.budget = budget;
  }

  /** Takes a {@link Reply} or a {@link ReplyPart} off the buffer; null if more must be read first. */
  Object parse(Buffer in) {
    return streamBytesLeft > 0 ? part(in) : value != null ? collect(in) : parseLine(in);
  }

  /** The flags of a reply. If it has several ids, its request is not certain, and the id is null. */
  private record Tail(Buffer id, Buffer receipt, String loadReport) {

    static Tail of(LineScanner scanner) {
      Buffer id = null;
      Buffer receipt = null;
      String loadReport = null;
      int ids = 0;
      while (scanner.nextWord()) {
        if (scanner.firstChar() == 'O') {
          id = scanner.slice(1);
          ids++;
        } else if (scanner.firstChar() == 'c') {
          receipt = scanner.slice(1);
        } else if (scanner.firstChar() == 'L' && scanner.length() <= MAX_LOAD_LENGTH) {
          loadReport = scanner.slice(1).toStringContent(StandardCharsets.ISO_8859_1);
        }
      }
      return new Tail(ids == 1 ? id : null, receipt, loadReport);
    }
  }

  private Reply parseLine(Buffer in) {
    LineScanner scanner = LineScanner.line(in);
    if (scanner == null && in.remaining() <= CommandFilter.MAX_LINE) {
      return null;
    }
    if (scanner == null || !scanner.nextWord()) {
      return bad(in);
    }
    int nextLine = scanner.nextLineStart();
    if (scanner.wordIs("VA")) {
      int length = scanner.nextWord() ? scanner.number() : -1;
      return length < 0 || length > ReplyFilter.MAX_VALUE ? bad(in) : value(in, scanner, length);
    }
    in.position(nextLine);
    if (scanner.wordIs("HD") || scanner.wordIs("EN")) {
      Kind kindOfLine = scanner.wordIs("HD") ? Kind.RECEIPT : Kind.MISS;
      Tail tail = Tail.of(scanner);
      return new Reply(kindOfLine, tail.id, kindOfLine == Kind.MISS ? null : tail.receipt, in.hasRemaining(),
          tail.loadReport);
    }
    Kind kind =
        scanner.wordIs("MN") ? Kind.ALIVE
            : scanner.wordIs("ERROR") || scanner.wordIs("CLIENT_ERROR") ? Kind.FAILED
            : !scanner.wordIs("SERVER_ERROR") ? Kind.BAD
            : scanner.nextWord() && scanner.wordIs("busy") ? Kind.BUSY
            : Kind.FAILED;
    return kind == Kind.BAD ? bad(in)
        : new Reply(kind, null, null, in.hasRemaining(), Tail.of(scanner).loadReport);
  }

  private Reply value(Buffer in, LineScanner scanner, int length) {
    Tail tail = Tail.of(scanner);
    Buffer lineId = tail.id;
    loadReport = tail.loadReport;
    in.position(scanner.nextLineStart());
    if (length > ReplyFilter.MAX_BUFFERED_VALUE) {
      streamBytesLeft = length + 2;
      Buffer copy = lineId == null ? null : Collector.copy(memory, lineId);
      return new Reply(Kind.VALUE, copy, null, false, length, loadReport);
    }
    if (in.remaining() >= length + 2) {
      int from = in.position();
      in.position(from + length + 2);
      return complete(lineId, in.slice(from, from + length + 2), in);
    }
    id = lineId == null ? null : Collector.copy(memory, lineId);
    value = new Collector(memory, length + 2, budget.claimReply());
    return collect(in);
  }

  private Reply collect(Buffer in) {
    if (!value.add(in)) {
      release();
      in.position(in.limit());
      return new Reply(Kind.DISCARDED, null, null, false, loadReport);
    }
    if (!value.isComplete()) {
      return null;
    }
    Buffer valueAndLineEnd = value.message();
    release();
    return complete(id, valueAndLineEnd, in);
  }

  private Reply complete(Buffer id, Buffer valueAndLineEnd, Buffer in) {
    int from = valueAndLineEnd.position();
    int end = valueAndLineEnd.limit() - 2;
    if (valueAndLineEnd.get(end) != '\r' || valueAndLineEnd.get(end + 1) != '\n') {
      return bad(in);
    }
    return new Reply(Kind.VALUE, id, valueAndLineEnd.slice(from, end), in.hasRemaining(), loadReport);
  }

  /** Discards an incomplete value. */
  void release() {
    if (value != null) {
      value.release();
      value = null;
    }
  }

  private Object part(Buffer in) {
    if (!in.hasRemaining()) {
      return null;
    }
    if (streamBytesLeft > 2) {
      int count = Math.min(streamBytesLeft - 2, in.remaining());
      Buffer bytes = in.slice(in.position(), in.position() + count);
      in.position(in.position() + count);
      streamBytesLeft -= count;
      return new ReplyPart(bytes, false, false);
    }
    for (; streamBytesLeft > 0 && in.hasRemaining(); streamBytesLeft--) {
      if (in.get() != (streamBytesLeft == 2 ? '\r' : '\n')) {
        return bad(in);
      }
    }
    return streamBytesLeft > 0 ? null : new ReplyPart(Buffers.EMPTY_BUFFER, true, in.hasRemaining());
  }

  private static Reply bad(Buffer in) {
    in.position(in.limit());
    return new Reply(Kind.BAD, null, null, false, null);
  }
}

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

    static Tail of(Words words) {
      Buffer id = null;
      Buffer receipt = null;
      String load = null;
      int ids = 0;
      while (words.next()) {
        if (words.first() == 'O') {
          id = words.slice(1);
          ids++;
        } else if (words.first() == 'c') {
          receipt = words.slice(1);
        } else if (words.first() == 'L' && words.length() <= MAX_LOAD) {
          load = words.slice(1).toStringContent(StandardCharsets.ISO_8859_1);
        }
      }
      return new Tail(ids == 1 ? id : null, receipt, load);
    }
  }

  private Reply begin(Buffer in) {
    Words words = Words.line(in);
    if (words == null && in.remaining() <= CommandFilter.MAX_LINE) {
      return null;
    }
    if (words == null || !words.next()) {
      return bad(in);
    }
    int after = words.after();
    if (words.is("VA")) {
      int length = words.next() ? words.number() : -1;
      return length < 0 || length > ReplyFilter.MAX_VALUE ? bad(in) : value(in, words, length);
    }
    in.position(after);
    if (words.is("HD") || words.is("EN")) {
      Kind said = words.is("HD") ? Kind.RECEIPT : Kind.MISS;
      Tail tail = Tail.of(words);
      return new Reply(said, tail.id, said == Kind.MISS ? null : tail.receipt, in.hasRemaining(), tail.load);
    }
    Kind kind = words.is("MN") ? Kind.ALIVE : words.is("ERROR") || words.is("CLIENT_ERROR") ? Kind.FAILED
        : !words.is("SERVER_ERROR") ? Kind.BAD : words.next() && words.is("busy") ? Kind.BUSY : Kind.FAILED;
    return kind == Kind.BAD ? bad(in)
        : new Reply(kind, null, null, in.hasRemaining(), Tail.of(words).load);
  }

  private Reply value(Buffer in, Words words, int length) {
    Tail tail = Tail.of(words);
    Buffer own = tail.id;
    load = tail.load;
    in.position(words.after());
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
    if (!value.isWhole()) {
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

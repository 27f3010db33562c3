package beampoint.memcache;

import beampoint.memcache.Reply.Kind;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Reads the answers of cache nodes. A value is given on only whole: what is cut off is no answer. */
public final class ReplyFilter extends BaseFilter {

  /**
   * The longest value that is passed on. Clients may send 64 KiB; but caches and origin were seen to hold
   * values of 400 KiB, which came whole. What is said to be longer is spoilt, and would fill the memory.
   */
  public static final int MAX_VALUE = 1024 * 1024;

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    Reply reply = parse(in);
    if (reply == null) {
      return ctx.getStopAction(in);
    }
    if (reply.surplus() || reply.kind() == Kind.BAD) {
      // One request is out at a time: what stands behind its answer belongs to none and may have no end.
      ctx.getConnection().disableIOEvent(IOEvent.READ);
    }
    ctx.setMessage(reply);
    return ctx.getInvokeAction();
  }

  /** Takes one answer off the buffer; null, and nothing taken, while it is not whole. */
  static Reply parse(Buffer in) {
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
      if (length < 0 || length > MAX_VALUE) {
        return bad(in);
      }
      if (in.limit() - after < length + 2) {
        return null;
      }
      if (in.get(after + length) != '\r' || in.get(after + length + 1) != '\n') {
        return bad(in);
      }
      in.position(after + length + 2);
      return new Reply(Kind.VALUE, id(words), in.slice(after, after + length), in.hasRemaining());
    }
    in.position(after);
    if (words.is("HD")) {
      return receipt(words, in.hasRemaining());
    }
    if (words.is("EN")) {
      return new Reply(Kind.MISS, id(words), null, in.hasRemaining());
    }
    Kind kind = words.is("MN") ? Kind.ALIVE : words.is("ERROR") || words.is("CLIENT_ERROR") ? Kind.FAILED
        : !words.is("SERVER_ERROR") ? Kind.BAD : words.next() && words.is("busy") ? Kind.BUSY : Kind.FAILED;
    return kind == Kind.BAD ? bad(in) : new Reply(kind, null, null, in.hasRemaining());
  }

  private static Reply receipt(Words words, boolean surplus) {
    Buffer id = null;
    Buffer receipt = null;
    while (words.next()) {
      if (words.first() == 'O') {
        id = words.slice(1);
      } else if (words.first() == 'c') {
        receipt = words.slice(1);
      }
    }
    return new Reply(Kind.RECEIPT, id, receipt, surplus);
  }

  /** The id that an answer names; null where it names none, or two. */
  private static Buffer id(Words words) {
    Buffer id = null;
    int count = 0;
    while (words.next()) {
      if (words.first() == 'O') {
        id = words.slice(1);
        count++;
      }
    }
    return count == 1 ? id : null;
  }

  private static Reply bad(Buffer in) {
    in.position(in.limit());
    return new Reply(Kind.BAD, null, null, false);
  }
}

package beampoint.memcache;

import beampoint.memcache.Reply.Kind;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Reads the answers of cache nodes. A value is given on only whole: what is cut off is no answer. */
public final class ReplyFilter extends BaseFilter {

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    Reply reply = parse(in);
    if (reply == null) {
      return ctx.getStopAction(in);
    }
    ctx.setMessage(reply);
    return in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
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
      if (length < 0 || length > CommandFilter.MAX_VALUE) {
        return bad(in);
      }
      if (in.limit() - after < length + 2) {
        return null;
      }
      if (in.get(after + length) != '\r' || in.get(after + length + 1) != '\n') {
        return bad(in);
      }
      Reply reply = new Reply(Kind.VALUE, flag(words, 'O'), in.slice(after, after + length));
      in.position(after + length + 2);
      return reply;
    }
    in.position(after);
    if (words.is("HD")) {
      return receipt(words);
    }
    if (words.is("EN")) {
      return new Reply(Kind.MISS, flag(words, 'O'), null);
    }
    if (words.is("MN")) {
      return new Reply(Kind.ALIVE, null, null);
    }
    if (words.is("SERVER_ERROR")) {
      return new Reply(words.next() && words.is("busy") ? Kind.BUSY : Kind.FAILED, null, null);
    }
    return words.is("ERROR") || words.is("CLIENT_ERROR") ? new Reply(Kind.FAILED, null, null) : bad(in);
  }

  private static Reply receipt(Words words) {
    Buffer id = null;
    Buffer receipt = null;
    while (words.next()) {
      if (words.first() == 'O') {
        id = words.slice(1);
      } else if (words.first() == 'c') {
        receipt = words.slice(1);
      }
    }
    return new Reply(Kind.RECEIPT, id, receipt);
  }

  private static Buffer flag(Words words, char letter) {
    while (words.next()) {
      if (words.first() == letter) {
        return words.slice(1);
      }
    }
    return null;
  }

  private static Reply bad(Buffer in) {
    in.position(in.limit());
    return new Reply(Kind.BAD, null, null);
  }
}

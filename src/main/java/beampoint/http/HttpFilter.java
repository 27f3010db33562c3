package beampoint.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/** Reads answers of HTTP/1.1 servers: a head, then its body as it comes, of stated length or in chunks. */
public final class HttpFilter extends BaseFilter {

  private static final int MAX_HEAD = 16 * 1024;

  private enum Part { HEAD, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER }

  /** Where the reading of one connection stands. */
  static final class Progress {
    private Part part = Part.HEAD;
    private long left;
  }

  private final Attribute<Progress> progress =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("http-progress", Progress::new);

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Connection<?> connection = ctx.getConnection();
    Buffer in = ctx.getMessage();
    try {
      Object message = parse(progress.get(connection), in);
      if (message == null) {
        return in.hasRemaining() ? ctx.getStopAction(in) : ctx.getStopAction();
      }
      ctx.setMessage(message);
      return in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
    } catch (HttpException e) {
      connection.terminateSilently();
      return ctx.getStopAction();
    }
  }

  /** Takes one head or one part of a body off the buffer, or null where more must come first. */
  static Object parse(Progress p, Buffer in) throws HttpException {
    while (true) {
      switch (p.part) {
        case HEAD -> {
          return head(p, in);
        }
        case BODY, CHUNK -> {
          if (!in.hasRemaining()) {
            return null;
          }
          int size = (int) Math.min(p.left, in.remaining());
          Buffer bytes = in.slice(in.position(), in.position() + size);
          in.position(in.position() + size);
          p.left -= size;
          boolean last = p.part == Part.BODY && p.left == 0;
          if (p.left == 0) {
            p.part = last ? Part.HEAD : Part.CHUNK_END;
          }
          return new HttpContent(bytes, last);
        }
        default -> {
          int end = lineEnd(in);
          if (end < 0) {
            return null;
          }
          int from = in.position();
          in.position(end);
          boolean empty = end - from <= 2;
          if (p.part == Part.CHUNK_SIZE) {
            p.left = hex(in, from, end);
            p.part = p.left == 0 ? Part.TRAILER : Part.CHUNK;
          } else if (p.part == Part.CHUNK_END) {
            p.part = Part.CHUNK_SIZE;
          } else if (empty) {
            p.part = Part.HEAD;
            return new HttpContent(Buffers.EMPTY_BUFFER, true);
          }
        }
      }
    }
  }

  /** The place after the next line, or -1. */
  private static int lineEnd(Buffer in) throws HttpException {
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        return i + 1;
      }
    }
    if (in.remaining() > MAX_HEAD) {
      throw new HttpException("line too long");
    }
    return -1;
  }

  private static long hex(Buffer in, int from, int to) throws HttpException {
    long value = 0;
    int i = from;
    for (; i < to; i++) {
      int digit = Character.digit(in.get(i), 16);
      if (digit < 0 || value > Integer.MAX_VALUE) {
        break;
      }
      value = value * 16 + digit;
    }
    if (i == from || value > Integer.MAX_VALUE) {
      throw new HttpException("bad chunk size");
    }
    return value;
  }

  private static HttpHead head(Progress p, Buffer in) throws HttpException {
    int end = headEnd(in);
    if (end < 0) {
      return null;
    }
    int at = in.position();
    if (end - at < 12 || !matches(in, at, "http/1.")) {
      throw new HttpException("no HTTP answer");
    }
    int status = (int) digits(in, at + 9, at + 12);
    boolean declined = false;
    boolean closes = false;
    boolean chunked = false;
    long length = status == 204 || status == 304 ? 0 : -1;
    for (int line = nextLine(in, at, end); line < end; line = nextLine(in, line, end)) {
      if (matches(in, line, "content-length:")) {
        length = digits(in, line + 15, nextLine(in, line, end));
      } else if (matches(in, line, "transfer-encoding:")) {
        chunked = contains(in, line, end, "chunked");
      } else if (matches(in, line, "connection:")) {
        closes = contains(in, line, end, "close");
      } else if (matches(in, line, "srv-declined:")) {
        declined = digits(in, line + 13, nextLine(in, line, end)) == 1;
      }
    }
    if (!chunked && length < 0) {
      throw new HttpException("a body without a stated length can't be told from one cut off");
    }
    in.position(end);
    // Guards against an answer that is never noticed: nothing is read for a body of no length.
    boolean whole = !chunked && length == 0;
    p.left = length;
    p.part = whole ? Part.HEAD : chunked ? Part.CHUNK_SIZE : Part.BODY;
    return new HttpHead(status, declined, closes, whole);
  }

  private static int headEnd(Buffer in) throws HttpException {
    int lineStart = in.position();
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        boolean empty = i == lineStart || i == lineStart + 1 && in.get(lineStart) == '\r';
        if (empty && lineStart > in.position()) {
          return i + 1;
        }
        lineStart = i + 1;
      }
    }
    if (in.remaining() > MAX_HEAD) {
      throw new HttpException("head too long");
    }
    return -1;
  }

  private static int nextLine(Buffer in, int from, int end) {
    int i = from;
    while (i < end && in.get(i) != '\n') {
      i++;
    }
    return Math.min(end, i + 1);
  }

  private static boolean matches(Buffer in, int at, String lowerCase) {
    for (int i = 0; i < lowerCase.length(); i++) {
      if (at + i >= in.limit() || Character.toLowerCase((char) in.get(at + i)) != lowerCase.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static boolean contains(Buffer in, int line, int end, String lowerCase) {
    int next = nextLine(in, line, end);
    for (int i = line; i + lowerCase.length() <= next; i++) {
      if (matches(in, i, lowerCase)) {
        return true;
      }
    }
    return false;
  }

  private static long digits(Buffer in, int from, int to) throws HttpException {
    String text = in.toStringContent(StandardCharsets.ISO_8859_1, from, to).trim();
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new HttpException("not a number: " + text);
    }
  }
}

package beampoint.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Reads one side of HTTP/1.1, the answers of servers or the requests of callers: a head, then its body as it
 * comes, of stated length or in chunks.
 */
public final class HttpFilter extends BaseFilter {

  private static final int MAX_HEAD = 16 * 1024;

  private enum Part { HEAD, BODY, UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER }

  /** Whose messages are read. */
  public enum Side { RESPONSES, REQUESTS }

  /** Where the reading of one connection stands. */
  static final class Progress {
    private Part part = Part.HEAD;
    private long left;
  }

  /** What the headers say of the body, and the few others that count. */
  private static final class Headers {
    private long length = -1;
    private boolean chunked;
    private boolean closes;
    private boolean declined;
  }

  private final Side side;

  public HttpFilter(Side side) {
    this.side = side;
  }

  private final Attribute<Progress> progress =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("http-progress", Progress::new);

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Connection<?> connection = ctx.getConnection();
    Buffer in = ctx.getMessage();
    try {
      Object message = parse(side, progress.get(connection), in);
      if (message == null) {
        return in.hasRemaining() ? ctx.getStopAction(in) : ctx.getStopAction();
      }
      ctx.setMessage(message);
      return in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
    } catch (HttpException e) {
      // Nothing can be read after it, and a peer may send without end.
      connection.disableIOEvent(IOEvent.READ);
      ctx.setMessage(new HttpFault(e.getMessage()));
      return ctx.getInvokeAction();
    }
  }

  /** Takes one head or one part of a body off the buffer, or null where more must come first. */
  static Object parse(Side side, Progress p, Buffer in) throws HttpException {
    while (true) {
      switch (p.part) {
        case HEAD -> {
          int end = headEnd(in);
          if (end < 0) {
            return null;
          }
          if (side == Side.REQUESTS) {
            return request(p, in, end);
          }
          HttpHead head = head(p, in, end);
          if (head.status() >= 200) {
            return head;
          }
          // An interim answer: the one that counts comes behind it.
        }
        case UNTIL_CLOSE -> {
          if (!in.hasRemaining()) {
            return null;
          }
          Buffer bytes = in.slice(in.position(), in.limit());
          in.position(in.limit());
          return new HttpContent(bytes, false, false); // only who sees the close can tell the last
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
          return new HttpContent(bytes, last, last && in.hasRemaining());
        }
        default -> {
          int end = lineEnd(in);
          if (end < 0) {
            return null;
          }
          int from = in.position();
          in.position(end);
          int textEnd = textEnd(in, from, end);
          if (p.part == Part.CHUNK_SIZE) {
            p.left = hex(in, from, textEnd);
            p.part = p.left == 0 ? Part.TRAILER : Part.CHUNK;
          } else if (p.part == Part.CHUNK_END) {
            if (textEnd > from) {
              throw new HttpException("a chunk longer than stated");
            }
            p.part = Part.CHUNK_SIZE;
          } else if (textEnd == from) {
            p.part = Part.HEAD;
            return new HttpContent(Buffers.EMPTY_BUFFER, true, in.hasRemaining());
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

  /** The size of a chunk, which an extension may follow. */
  private static long hex(Buffer in, int from, int to) throws HttpException {
    long value = 0;
    int i = from;
    for (; i < to && Character.digit(in.get(i), 16) >= 0 && value <= Integer.MAX_VALUE; i++) {
      value = value * 16 + Character.digit(in.get(i), 16);
    }
    if (i == from || value > Integer.MAX_VALUE || i < to && in.get(i) != ';' && !isBlank(in.get(i))) {
      throw new HttpException("bad chunk size");
    }
    return value;
  }

  /**
   * Takes a head off the buffer. Guards against spoilt answers that pass for good ones: a line that is no
   * header, or lengths that contradict each other, leave open where the body ends.
   */
  private static HttpHead head(Progress p, Buffer in, int end) throws HttpException {
    int at = in.position();
    int statusEnd = textEnd(in, at, nextLine(in, at, end));
    if (statusEnd - at < 12 || !matches(in, at, "http/1.") || in.get(at + 8) != ' '
        || statusEnd > at + 12 && in.get(at + 12) != ' ') {
      throw new HttpException("no HTTP answer");
    }
    int status = number(in, at + 9, at + 12);
    Headers headers = headers(in, nextLine(in, at, end), end);
    in.position(end);
    boolean noBody = status < 200 || status == 204 || status == 304;
    if (status < 100 || status == 101) {
      throw new HttpException("no status of an answer");
    }
    boolean untilClose = !noBody && !headers.chunked && headers.length < 0;
    boolean whole = begin(p, headers, !noBody);
    return new HttpHead(status, headers.declined, headers.closes || untilClose, headers.length, whole,
        whole && in.hasRemaining(), untilClose);
  }

  /** Takes the head of a request off the buffer; one that states no body has none. */
  private static HttpRequest request(Progress p, Buffer in, int end) throws HttpException {
    int at = in.position();
    int lineEnd = textEnd(in, at, nextLine(in, at, end));
    String[] words = in.toStringContent(StandardCharsets.ISO_8859_1, at, lineEnd).split(" ", -1);
    if (words.length != 3 || words[0].isEmpty() || !words[1].startsWith("/")
        || !words[2].startsWith("HTTP/1.")) {
      throw new HttpException("no HTTP request");
    }
    Headers headers = headers(in, nextLine(in, at, end), end);
    in.position(end);
    boolean whole = begin(p, headers, headers.chunked || headers.length >= 0);
    return new HttpRequest(words[0], words[1], whole);
  }

  /** Makes ready for the body; true where there is none, as nothing would be read for a body of no length. */
  private static boolean begin(Progress p, Headers headers, boolean hasBody) {
    boolean whole = !hasBody || headers.length == 0;
    p.left = hasBody ? headers.length : 0;
    p.part = whole ? Part.HEAD : headers.chunked ? Part.CHUNK_SIZE
        : headers.length < 0 ? Part.UNTIL_CLOSE : Part.BODY;
    return whole;
  }

  private static Headers headers(Buffer in, int from, int end) throws HttpException {
    Headers headers = new Headers();
    for (int line = from; line < end; line = nextLine(in, line, end)) {
      int textEnd = textEnd(in, line, nextLine(in, line, end));
      if (textEnd == line) {
        break;
      }
      checkName(in, line, textEnd);
      if (matches(in, line, "content-length:")) {
        long stated = number(in, line + 15, textEnd);
        if (headers.length >= 0 && headers.length != stated) {
          throw new HttpException("lengths that contradict each other");
        }
        headers.length = stated;
      } else if (matches(in, line, "transfer-encoding:")) {
        if (headers.chunked || !isWord(in, line + 18, textEnd, "chunked")) {
          throw new HttpException("an unknown transfer encoding");
        }
        headers.chunked = true;
      } else if (matches(in, line, "connection:")) {
        headers.closes = contains(in, line, end, "close");
      } else if (matches(in, line, "srv-declined:")) {
        headers.declined = isWord(in, line + 13, textEnd, "1");
      }
    }
    if (headers.chunked && headers.length >= 0) {
      throw new HttpException("lengths that contradict each other");
    }
    return headers;
  }

  /** A header begins with a name of visible characters and a colon. */
  private static void checkName(Buffer in, int from, int to) throws HttpException {
    int i = from;
    while (i < to && in.get(i) > ' ' && in.get(i) < 0x7f && in.get(i) != ':') {
      i++;
    }
    if (i == from || i == to || in.get(i) != ':') {
      throw new HttpException("a line that is no header");
    }
  }

  private static int headEnd(Buffer in) throws HttpException {
    int lineStart = in.position();
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        boolean empty = i == lineStart || i == lineStart + 1 && in.get(lineStart) == '\r';
        if (empty && lineStart > in.position() && i - in.position() < MAX_HEAD) {
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

  /** The end of a line's text, without the line's end. */
  private static int textEnd(Buffer in, int from, int next) {
    int end = next;
    if (end > from && in.get(end - 1) == '\n') {
      end--;
    }
    return end > from && in.get(end - 1) == '\r' ? end - 1 : end;
  }

  private static boolean isBlank(byte b) {
    return b == ' ' || b == '\t';
  }

  /** True where a value, without the blanks round it, is this word. */
  private static boolean isWord(Buffer in, int from, int to, String lowerCase) {
    int start = from;
    int end = to;
    while (start < end && isBlank(in.get(start))) {
      start++;
    }
    while (end > start && isBlank(in.get(end - 1))) {
      end--;
    }
    return end - start == lowerCase.length() && matches(in, start, lowerCase);
  }

  /** A number of up to nine digits, with blanks round it. */
  private static int number(Buffer in, int from, int to) throws HttpException {
    int value = 0;
    int digits = 0;
    boolean over = false;
    for (int i = from; i < to; i++) {
      int digit = in.get(i) - '0';
      if (isBlank(in.get(i))) {
        over = digits > 0;
      } else if (over || digit < 0 || digit > 9 || ++digits > 9) {
        throw new HttpException("not a number");
      } else {
        value = value * 10 + digit;
      }
    }
    if (digits == 0) {
      throw new HttpException("not a number");
    }
    return value;
  }
}

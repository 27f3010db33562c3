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
 * Parses HTTP/1.1 messages of one kind, responses or requests, into heads and the parts of their bodies as
 * they arrive. A body has a stated length, is chunked, or lasts until the connection is closed (RFC 9112).
 */
public final class HttpFilter extends BaseFilter {

  private static final int MAX_HEAD_BYTES = 16 * 1024;

  /** What the parser expects next. */
  private enum State {
    HEAD, BODY, BODY_UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER
  }

  /** The kind of messages to parse. */
  public enum MessageKind { RESPONSES, REQUESTS }

  /** The state of the parser of one connection. */
  static final class Progress {
    private State state = State.HEAD;
    private long left; // bytes of the body or chunk that are still to come
  }

  /** The headers that this proxy uses. */
  private static final class Headers {
    private long length = -1; // of the body; -1 if none is stated
    private boolean chunked;
    private boolean closes;
    private boolean declined; // srv-declined: the server did not carry out the request
  }

  private final MessageKind kind;

  public HttpFilter(MessageKind kind) {
    this.kind = kind;
  }

  private final Attribute<Progress> progress =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("http-progress", Progress::new);

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Connection<?> connection = ctx.getConnection();
    Buffer in = ctx.getMessage();
    try {
      Object message = parse(kind, progress.get(connection), in);
      if (message == null) {
        return in.hasRemaining() ? ctx.getStopAction(in) : ctx.getStopAction();
      }
      ctx.setMessage(message);
      return in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
    } catch (HttpException e) {
      // After an error no message boundary can be found, so reading stops; the peer might send forever.
      connection.disableIOEvent(IOEvent.READ);
      ctx.setMessage(new HttpFault(e.getMessage()));
      return ctx.getInvokeAction();
    }
  }

  /**
   * Consumes one head or one part of a body from the buffer. Returns an {@link HttpHead}, an
   * {@link HttpRequest} or an {@link HttpContent}, or null if more bytes are needed.
   */
  static Object parse(MessageKind kind, Progress progress, Buffer in) throws HttpException {
    while (true) {
      switch (progress.state) {
        case HEAD -> {
          int end = headEnd(in);
          if (end < 0) {
            return null;
          }
          if (kind == MessageKind.REQUESTS) {
            return request(progress, in, end);
          }
          HttpHead head = head(progress, in, end);
          if (head.status() >= 200) {
            return head;
          }
          // An interim response (1xx): the final one follows it.
        }
        case BODY_UNTIL_CLOSE -> {
          if (!in.hasRemaining()) {
            return null;
          }
          Buffer bytes = in.slice(in.position(), in.limit());
          in.position(in.limit());
          return new HttpContent(bytes, false, false); // the last part is known only at the close
        }
        case BODY, CHUNK -> {
          if (!in.hasRemaining()) {
            return null;
          }
          int size = (int) Math.min(progress.left, in.remaining());
          Buffer bytes = in.slice(in.position(), in.position() + size);
          in.position(in.position() + size);
          progress.left -= size;
          boolean last = progress.state == State.BODY && progress.left == 0;
          if (progress.left == 0) {
            progress.state = last ? State.HEAD : State.CHUNK_END;
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
          if (progress.state == State.CHUNK_SIZE) {
            progress.left = chunkSize(in, from, textEnd);
            progress.state = progress.left == 0 ? State.TRAILER : State.CHUNK;
          } else if (progress.state == State.CHUNK_END) {
            if (textEnd > from) {
              throw new HttpException("a chunk longer than stated");
            }
            progress.state = State.CHUNK_SIZE;
          } else if (textEnd == from) {
            progress.state = State.HEAD;
            return new HttpContent(Buffers.EMPTY_BUFFER, true, in.hasRemaining());
          }
        }
      }
    }
  }

  /** The position after the next line, or -1 if no complete line has been received. */
  private static int lineEnd(Buffer in) throws HttpException {
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        return i + 1;
      }
    }
    if (in.remaining() > MAX_HEAD_BYTES) {
      throw new HttpException("line too long");
    }
    return -1;
  }

  /** Parses the size of a chunk, which an extension may follow. */
  private static long chunkSize(Buffer in, int from, int to) throws HttpException {
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
   * Consumes the head of a response. Rejects malformed header lines and contradictory lengths, as they leave
   * open where the body ends, so that a corrupted response could be taken for a valid one.
   */
  private static HttpHead head(Progress progress, Buffer in, int end) throws HttpException {
    int start = in.position();
    int statusEnd = textEnd(in, start, nextLine(in, start, end));
    if (statusEnd - start < 12 || !matches(in, start, "http/1.") || in.get(start + 8) != ' '
        || statusEnd > start + 12 && in.get(start + 12) != ' ') {
      throw new HttpException("not an HTTP/1.x response");
    }
    int status = number(in, start + 9, start + 12);
    Headers headers = headers(in, nextLine(in, start, end), end);
    in.position(end);
    boolean statusExcludesBody = status < 200 || status == 204 || status == 304;
    if (status < 100 || status == 101) {
      throw new HttpException("invalid status of a response: " + status);
    }
    boolean untilClose = !statusExcludesBody && !headers.chunked && headers.length < 0;
    boolean hasNoBody = beginBody(progress, headers, !statusExcludesBody);
    return new HttpHead(status, headers.declined, headers.closes || untilClose, headers.length, hasNoBody,
        hasNoBody && in.hasRemaining(), untilClose);
  }

  /**
   * Consumes the head of a request; a request with neither Content-Length nor chunked encoding has no body.
   */
  private static HttpRequest request(Progress progress, Buffer in, int end) throws HttpException {
    int start = in.position();
    int lineEnd = textEnd(in, start, nextLine(in, start, end));
    String[] words = in.toStringContent(StandardCharsets.ISO_8859_1, start, lineEnd).split(" ", -1);
    if (words.length != 3 || words[0].isEmpty() || !words[1].startsWith("/")
        || !words[2].startsWith("HTTP/1.")) {
      throw new HttpException("no HTTP request");
    }
    Headers headers = headers(in, nextLine(in, start, end), end);
    in.position(end);
    boolean hasNoBody = beginBody(progress, headers, headers.chunked || headers.length >= 0);
    return new HttpRequest(words[0], words[1], hasNoBody);
  }

  /**
   * Prepares for reading the body. Returns true if no body follows; a body of length 0 counts as none, as no
   * bytes would arrive to complete it.
   */
  private static boolean beginBody(Progress progress, Headers headers, boolean mayHaveBody) {
    boolean hasNoBody = !mayHaveBody || headers.length == 0;
    progress.left = mayHaveBody ? headers.length : 0;
    progress.state = hasNoBody ? State.HEAD : headers.chunked ? State.CHUNK_SIZE
        : headers.length < 0 ? State.BODY_UNTIL_CLOSE : State.BODY;
    return hasNoBody;
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
        if (headers.chunked || !isToken(in, line + 18, textEnd, "chunked")) {
          throw new HttpException("an unknown transfer encoding");
        }
        headers.chunked = true;
      } else if (matches(in, line, "connection:")) {
        headers.closes = contains(in, line, end, "close");
      } else if (matches(in, line, "srv-declined:")) {
        headers.declined = isToken(in, line + 13, textEnd, "1");
      }
    }
    if (headers.chunked && headers.length >= 0) {
      throw new HttpException("lengths that contradict each other");
    }
    return headers;
  }

  /** Throws unless the line begins with a name of visible ASCII characters and a colon. */
  private static void checkName(Buffer in, int from, int to) throws HttpException {
    int i = from;
    while (i < to && in.get(i) > ' ' && in.get(i) < 0x7f && in.get(i) != ':') {
      i++;
    }
    if (i == from || i == to || in.get(i) != ':') {
      throw new HttpException("a line that is no header");
    }
  }

  /** The position after the empty line that ends the head, or -1 if it has not been received. */
  private static int headEnd(Buffer in) throws HttpException {
    int lineStart = in.position();
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        boolean empty = i == lineStart || i == lineStart + 1 && in.get(lineStart) == '\r';
        if (empty && lineStart > in.position() && i - in.position() < MAX_HEAD_BYTES) {
          return i + 1;
        }
        lineStart = i + 1;
      }
    }
    if (in.remaining() > MAX_HEAD_BYTES) {
      throw new HttpException("head too long");
    }
    return -1;
  }

  /** The position after the line that begins at {@code from}, at most {@code end}. */
  private static int nextLine(Buffer in, int from, int end) {
    int i = from;
    while (i < end && in.get(i) != '\n') {
      i++;
    }
    return Math.min(end, i + 1);
  }

  /** True if the buffer has this text at a position, ignoring case. */
  private static boolean matches(Buffer in, int from, String lowerCase) {
    for (int i = 0; i < lowerCase.length(); i++) {
      if (from + i >= in.limit() || Character.toLowerCase((char) in.get(from + i)) != lowerCase.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** True if the line that begins at {@code from} contains this text, ignoring case. */
  private static boolean contains(Buffer in, int from, int end, String lowerCase) {
    int next = nextLine(in, from, end);
    for (int i = from; i + lowerCase.length() <= next; i++) {
      if (matches(in, i, lowerCase)) {
        return true;
      }
    }
    return false;
  }

  /** The end of the text of a line, without its line break; {@code next} is the position after the line. */
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

  /** True if a header value, without blanks around it, is this token, ignoring case. */
  private static boolean isToken(Buffer in, int from, int to, String lowerCase) {
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

  /** Parses a number of up to nine digits, with blanks around it. */
  private static int number(Buffer in, int from, int to) throws HttpException {
    int value = 0;
    int digits = 0;
    boolean ended = false; // a blank after the digits
    for (int i = from; i < to; i++) {
      int digit = in.get(i) - '0';
      if (isBlank(in.get(i))) {
        ended = digits > 0;
      } else if (ended || digit < 0 || digit > 9 || ++digits > 9) {
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

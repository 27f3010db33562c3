package beampoint.memcache;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/** A line in a buffer, read word by word where it lies. */
final class LineScanner {

  private final Buffer in;
  private int at;
  private final int lineEnd;
  private final int after;
  /** The bounds of the present word. */
  int start;
  int end;

  private LineScanner(Buffer in, int lineEnd, int after) {
    this.in = in;
    this.at = in.position();
    this.lineEnd = lineEnd;
    this.after = after;
  }

  /** The next line of a buffer, or null while its end has not come; {@link #after()} tells where it ends. */
  static LineScanner line(Buffer in) {
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        int end = i > in.position() && in.get(i - 1) == '\r' ? i - 1 : i;
        return new LineScanner(in, end, i + 1);
      }
    }
    return null;
  }

  int after() {
    return after;
  }

  /** True if the line holds visible ASCII characters and blanks only. */
  boolean isPlain() {
    for (int i = in.position(); i < lineEnd; i++) {
      if (in.get(i) < ' ' || in.get(i) == 0x7f) {
        return false;
      }
    }
    return true;
  }

  boolean next() {
    while (at < lineEnd && in.get(at) == ' ') {
      at++;
    }
    start = at;
    while (at < lineEnd && in.get(at) != ' ') {
      at++;
    }
    end = at;
    return end > start;
  }

  boolean is(String text) {
    if (end - start != text.length()) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      if (in.get(start + i) != text.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  int length() {
    return end - start;
  }

  char first() {
    return (char) in.get(start);
  }

  /** The present word without its first bytes; shares the buffer's memory. */
  Buffer slice(int skipped) {
    return in.slice(start + skipped, end);
  }

  /** The present word as a number of up to nine digits, or -1. */
  int number() {
    return number(in, start, end);
  }

  static int number(Buffer in, int from, int to) {
    if (to <= from || to - from > 9) {
      return -1;
    }
    int value = 0;
    for (int i = from; i < to; i++) {
      int digit = in.get(i) - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      value = value * 10 + digit;
    }
    return value;
  }

  static String text(Buffer in, int from, int to) {
    return in.toStringContent(StandardCharsets.US_ASCII, from, to);
  }
}

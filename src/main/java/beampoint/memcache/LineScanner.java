package beampoint.memcache;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/** Scans a line in a buffer word by word, without copying it. */
final class LineScanner {

  private final Buffer in;
  private int position;
  private final int lineEnd;
  private final int nextLineStart;
  /** The bounds of the current word. */
  int start;
  int end;

  private LineScanner(Buffer in, int lineEnd, int nextLineStart) {
    this.in = in;
    this.position = in.position();
    this.lineEnd = lineEnd;
    this.nextLineStart = nextLineStart;
  }

  /** A scanner of the next line of a buffer, or null while the line is incomplete. */
  static LineScanner line(Buffer in) {
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) == '\n') {
        int end = i > in.position() && in.get(i - 1) == '\r' ? i - 1 : i;
        return new LineScanner(in, end, i + 1);
      }
    }
    return null;
  }

  /** The position after the line's end. */
  int nextLineStart() {
    return nextLineStart;
  }

  /** True if the line holds only visible ASCII characters and spaces. */
  boolean isPlain() {
    for (int i = in.position(); i < lineEnd; i++) {
      if (in.get(i) < ' ' || in.get(i) == 0x7f) {
        return false;
      }
    }
    return true;
  }

  /** Goes on to the next word; returns false if there is none. */
  boolean nextWord() {
    while (position < lineEnd && in.get(position) == ' ') {
      position++;
    }
    start = position;
    while (position < lineEnd && in.get(position) != ' ') {
      position++;
    }
    end = position;
    return end > start;
  }

  /** True if the current word equals a text. */
  boolean wordIs(String text) {
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

  char firstChar() {
    return (char) in.get(start);
  }

  /** The current word without its first bytes; shares the buffer's memory. */
  Buffer slice(int skipped) {
    return in.slice(start + skipped, end);
  }

  /** The current word as a number of up to nine digits, or -1. */
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

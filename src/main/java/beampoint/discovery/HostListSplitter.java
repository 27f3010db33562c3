package beampoint.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits the byte stream of a watch into lists: JSON objects on one line, or indented over several lines. An
 * empty line is a heartbeat without a change. An empty line inside an object means that the object was cut
 * off and its rest will not follow.
 */
final class HostListSplitter {

  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth;
  private boolean quoted;
  private boolean escaped;
  private boolean blank = true; // the current line has only white space so far

  /**
   * Adds the next byte; returns the text that it completes, empty for a heartbeat, or null if the text is not
   * complete yet.
   */
  String append(byte next) {
    if (next == '\n') {
      boolean complete = depth <= 0 || blank;
      blank = true;
      quoted = false; // a JSON string has no line break
      escaped = false;
      return complete ? finish() : null;
    }
    blank &= next == ' ' || next == '\t' || next == '\r';
    text.write(next);
    if (quoted) {
      quoted = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else if (next == '"') {
      quoted = true;
    } else if (next == '{' || next == '[') {
      depth++;
    } else if (next == '}' || next == ']') {
      depth--;
    }
    return null;
  }

  /** The number of bytes of the text that is not complete yet. */
  int length() {
    return text.size();
  }

  private String finish() {
    String complete = text.toString(StandardCharsets.UTF_8).trim();
    text.reset();
    depth = 0;
    return complete;
  }
}

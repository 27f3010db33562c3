package beampoint.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds the lists in what a watch brings: a JSON object a line, or one indented over several lines. An empty
 * line stands for no change, and never within an object: there it tells that the rest will not come.
 */
final class ListText {

  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth;
  private boolean quoted;
  private boolean escaped;
  private boolean blank = true; // the line so far

  /** Takes the next byte; returns the text that ends with it, empty for no change, or null inside one. */
  String take(byte next) {
    if (next == '\n') {
      boolean ends = depth <= 0 || blank;
      blank = true;
      quoted = false; // a string ends with its line
      escaped = false;
      return ends ? end() : null;
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

  /** The bytes of the text that goes on. */
  int length() {
    return text.size();
  }

  private String end() {
    String whole = text.toString(StandardCharsets.UTF_8).trim();
    text.reset();
    depth = 0;
    return whole;
  }
}

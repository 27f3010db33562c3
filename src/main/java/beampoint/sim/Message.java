package beampoint.sim;

import java.util.HashMap;
import java.util.Map;

/** One line of the wire: a name and its fields. */
final class Message {

  final String name;
  private final int line;
  private final Map<String, String> fields;

  private Message(String name, int line, Map<String, String> fields) {
    this.name = name;
    this.line = line;
    this.fields = fields;
  }

  /** Splits a line at its tabs; a part without '=' is malformed. */
  static Message parse(String text, int line) throws WireException {
    int tab = text.indexOf('\t');
    String name = tab < 0 ? text : text.substring(0, tab);
    Map<String, String> fields = new HashMap<>();
    while (tab >= 0) {
      int next = text.indexOf('\t', tab + 1);
      String part = next < 0 ? text.substring(tab + 1) : text.substring(tab + 1, next);
      int equals = part.indexOf('=');
      if (equals <= 0) {
        throw new WireException(
            "line " + line + ": '" + name + "' has a part without name=value: '" + part + "'");
      }
      fields.put(part.substring(0, equals), part.substring(equals + 1));
      tab = next;
    }
    return new Message(name, line, fields);
  }

  WireException malformed(String field, String problem) {
    return new WireException("line " + line + ": '" + name + "', field '" + field + "': " + problem);
  }

  boolean has(String field) {
    return fields.containsKey(field);
  }

  String text(String field) throws WireException {
    String value = fields.get(field);
    if (value == null) {
      throw malformed(field, "missing");
    }
    return value;
  }

  String text(String field, String absent) {
    return fields.getOrDefault(field, absent);
  }

  double number(String field) throws WireException {
    try {
      double value = Double.parseDouble(text(field));
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // told below, with the line and the field
    }
    throw malformed(field, "not a number: '" + text(field) + "'");
  }

  double number(String field, double absent) throws WireException {
    return has(field) ? number(field) : absent;
  }

  long whole(String field) throws WireException {
    try {
      return Long.parseLong(text(field));
    } catch (NumberFormatException e) {
      throw malformed(field, "not a whole number: '" + text(field) + "'");
    }
  }

  long whole(String field, long absent) throws WireException {
    return has(field) ? whole(field) : absent;
  }

  int index(String field, int absent) throws WireException {
    long value = whole(field, absent);
    if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
      throw malformed(field, "out of range: " + value);
    }
    return (int) value;
  }

  boolean flag(String field, boolean absent) throws WireException {
    String value = text(field, absent ? "1" : "0");
    return switch (value) {
      case "1", "true" -> true;
      case "0", "false" -> false;
      default -> throw malformed(field, "neither 0 nor 1: '" + value + "'");
    };
  }
}

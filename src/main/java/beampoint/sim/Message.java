package beampoint.sim;

import beampoint.settings.Fields;
import beampoint.settings.InputException;

/** One line of the simulator's wire format: a name and tab-separated fields of the form name=value. */
final class Message extends Fields {

  final String name;
  private final int line;
  private final String text;

  private Message(String name, int line, String text) {
    this.name = name;
    this.line = line;
    this.text = text;
  }

  /** Checks that every field has the form name=value. Values are not extracted, as most are never read. */
  static Message parse(String text, int line) throws InputException {
    int tab = text.indexOf('\t');
    String name = tab < 0 ? text : text.substring(0, tab);
    while (tab >= 0) {
      int next = text.indexOf('\t', tab + 1);
      int end = next < 0 ? text.length() : next;
      int equals = text.indexOf('=', tab + 1);
      if (equals <= tab + 1 || equals >= end) {
        throw new InputException("line " + line + ": '" + name + "' has a part without name=value: '"
            + text.substring(tab + 1, end) + "'");
      }
      tab = next;
    }
    return new Message(name, line, text);
  }

  @Override
  protected String find(String field) {
    int length = field.length();
    for (int tab = text.indexOf('\t'); tab >= 0; tab = text.indexOf('\t', tab + 1)) {
      int equals = tab + 1 + length;
      if (text.startsWith(field, tab + 1) && equals < text.length() && text.charAt(equals) == '=') {
        int end = text.indexOf('\t', equals);
        return text.substring(equals + 1, end < 0 ? text.length() : end);
      }
    }
    return null;
  }

  @Override
  public InputException invalid(String field, String problem) {
    return new InputException("line " + line + ": '" + name + "', field '" + field + "': " + problem);
  }
}

package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads a message token by token; whatever is not as it should be is a {@link MalformedChangeException}. */
final class FormReader {

  /** The most characters of a control machine's name. */
  static final int MAX_NAME = 200;

  /** The highest index and number of an epoch: so far below the end of a long that sums stay within it. */
  static final long MAX_INDEX = 1L << 53;

  private final JsonParser in;

  FormReader(JsonParser in) {
    this.in = in;
  }

  void begin() throws IOException, MalformedChangeException {
    expect(JsonToken.START_ARRAY);
  }

  void end() throws IOException, MalformedChangeException {
    expect(JsonToken.END_ARRAY);
  }

  /** True where another array begins, false where this one ends. */
  boolean another() throws IOException, MalformedChangeException {
    JsonToken token = in.nextToken();
    if (token != JsonToken.START_ARRAY && token != JsonToken.END_ARRAY) {
      throw new MalformedChangeException("cut off, or of another form");
    }
    return token == JsonToken.START_ARRAY;
  }

  /** Nothing may follow. */
  void over() throws IOException, MalformedChangeException {
    if (in.nextToken() != null) {
      throw new MalformedChangeException("with more than there may be");
    }
  }

  String text() throws IOException, MalformedChangeException {
    expect(JsonToken.VALUE_STRING);
    return in.getText();
  }

  String name() throws IOException, MalformedChangeException {
    String name = text();
    if (name.length() > MAX_NAME || !name.chars().allMatch(c -> c >= ' ' && c <= '~')) {
      throw new MalformedChangeException("with a text that is no name");
    }
    return name;
  }

  long number() throws IOException, MalformedChangeException {
    expect(JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  long within(long least, long most) throws IOException, MalformedChangeException {
    long number = number();
    if (number < least || number > most) {
      throw new MalformedChangeException("with a number out of bounds: " + number);
    }
    return number;
  }

  long index() throws IOException, MalformedChangeException {
    return within(0, MAX_INDEX);
  }

  boolean flag() throws IOException, MalformedChangeException {
    JsonToken token = in.nextToken();
    if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
      throw new MalformedChangeException("cut off, or of another form");
    }
    return token == JsonToken.VALUE_TRUE;
  }

  Epoch epoch() throws IOException, MalformedChangeException {
    Epoch epoch = new Epoch(index(), name(), number());
    boolean nobodys = epoch.number() == 0;
    if (nobodys != epoch.holder().isEmpty() || nobodys && epoch.life() != 0) {
      throw new MalformedChangeException("with an odd epoch");
    }
    return epoch;
  }

  private void expect(JsonToken token) throws IOException, MalformedChangeException {
    if (in.nextToken() != token) {
      throw new MalformedChangeException("cut off, or of another form");
    }
  }
}

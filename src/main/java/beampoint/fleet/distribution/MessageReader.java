package beampoint.fleet.distribution;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads the parts of a message one by one, each within its bounds. */
final class MessageReader {

  private static final int MAX_NAME = 200;

  private final JsonParser in;

  MessageReader(JsonParser in) {
    this.in = in;
  }

  JsonToken next() throws IOException {
    return in.nextToken();
  }

  JsonToken present() {
    return in.currentToken();
  }

  /** The number that the present token is, not negative. */
  long presentCount() throws IOException, MalformedMessageException {
    if (in.currentToken() != JsonToken.VALUE_NUMBER_INT || in.getLongValue() < 0) {
      throw new MalformedMessageException("cut off, or of another form");
    }
    return in.getLongValue();
  }

  void expect(JsonToken token) throws IOException, MalformedMessageException {
    if (in.nextToken() != token) {
      throw new MalformedMessageException("cut off, or of another form");
    }
  }

  void expectPresent(JsonToken token) throws MalformedMessageException {
    if (in.currentToken() != token) {
      throw new MalformedMessageException("cut off, of another form, or with more than there may be");
    }
  }

  void end() throws IOException, MalformedMessageException {
    expect(JsonToken.END_ARRAY);
    if (in.nextToken() != null) {
      throw new MalformedMessageException("with more than there may be");
    }
  }

  long number() throws IOException, MalformedMessageException {
    expect(JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  /** A number that is not negative. */
  long count() throws IOException, MalformedMessageException {
    long count = number();
    if (count < 0) {
      throw new MalformedMessageException("with a negative number: " + count);
    }
    return count;
  }

  int small(int most) throws IOException, MalformedMessageException {
    long number = number();
    if (number < 0 || number > most) {
      throw new MalformedMessageException("with a number out of its range: " + number);
    }
    return (int) number;
  }

  /** A name of printable ASCII. */
  String name() throws IOException, MalformedMessageException {
    expect(JsonToken.VALUE_STRING);
    return presentName();
  }

  /** The name that the present token is. */
  String presentName() throws IOException, MalformedMessageException {
    String name = in.getText();
    if (name.length() > MAX_NAME || !name.chars().allMatch(c -> c >= ' ' && c <= '~')) {
      throw new MalformedMessageException("with a text that is no name");
    }
    return name;
  }

  /** The text that the present token is. */
  String text() throws IOException {
    return in.getText();
  }

  /** The bytes that the present token is. */
  byte[] bytes() throws IOException {
    return in.getBinaryValue();
  }
}

package beampoint.fleet.distribution;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads the elements of a message one by one and checks each against its limits. */
final class MessageReader {

  private static final int MAX_NAME_CHARS = 200;

  private final JsonParser in;

  MessageReader(JsonParser in) {
    this.in = in;
  }

  JsonToken next() throws IOException {
    return in.nextToken();
  }

  JsonToken current() {
    return in.currentToken();
  }

  /** Returns the current token as a number that is not negative. */
  long currentNonNegative() throws IOException, MalformedMessageException {
    if (in.currentToken() != JsonToken.VALUE_NUMBER_INT || in.getLongValue() < 0) {
      throw new MalformedMessageException("truncated or malformed: expected a number that is not negative");
    }
    return in.getLongValue();
  }

  void expect(JsonToken token) throws IOException, MalformedMessageException {
    if (in.nextToken() != token) {
      throw new MalformedMessageException("truncated or malformed: expected " + token);
    }
  }

  void expectCurrent(JsonToken token) throws MalformedMessageException {
    if (in.currentToken() != token) {
      throw new MalformedMessageException(
          "truncated, malformed or with too many elements: expected " + token);
    }
  }

  void expectEnd() throws IOException, MalformedMessageException {
    expect(JsonToken.END_ARRAY);
    if (in.nextToken() != null) {
      throw new MalformedMessageException("bytes after the end of the message");
    }
  }

  long readLong() throws IOException, MalformedMessageException {
    expect(JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  /** Reads a number that is not negative. */
  long readNonNegative() throws IOException, MalformedMessageException {
    long number = readLong();
    if (number < 0) {
      throw new MalformedMessageException("negative number: " + number);
    }
    return number;
  }

  /** Reads a number from 0 to a maximum. */
  int readInt(int max) throws IOException, MalformedMessageException {
    long number = readLong();
    if (number < 0 || number > max) {
      throw new MalformedMessageException("number " + number + " is not from 0 to " + max);
    }
    return (int) number;
  }

  /** Reads a name of printable ASCII characters. */
  String readName() throws IOException, MalformedMessageException {
    expect(JsonToken.VALUE_STRING);
    return currentName();
  }

  /** Returns the current token as a name of printable ASCII characters. */
  String currentName() throws IOException, MalformedMessageException {
    String name = in.getText();
    if (name.length() > MAX_NAME_CHARS || !name.chars().allMatch(c -> c >= ' ' && c <= '~')) {
      throw new MalformedMessageException(
          "name is longer than " + MAX_NAME_CHARS + " characters or not printable ASCII");
    }
    return name;
  }

  /** Returns the current token as text. */
  String currentText() throws IOException {
    return in.getText();
  }

  /** Returns the current token as bytes. */
  byte[] currentBytes() throws IOException {
    return in.getBinaryValue();
  }
}

package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads a message token by token; an unexpected token or value is a {@link MalformedLogMessageException}. */
final class MessageReader {

  /** The maximum length of a control machine's name in characters. */
  static final int MAX_NAME_LENGTH = 200;

  /** The highest log index and epoch number; low enough that sums of them do not overflow a long. */
  static final long MAX_INDEX = 1L << 53;

  private final JsonParser in;

  MessageReader(JsonParser in) {
    this.in = in;
  }

  void beginArray() throws IOException, MalformedLogMessageException {
    expect(JsonToken.START_ARRAY);
  }

  void endArray() throws IOException, MalformedLogMessageException {
    expect(JsonToken.END_ARRAY);
  }

  /** Reads the start of a nested array, or the end of the current one; true if an array starts. */
  boolean nextArray() throws IOException, MalformedLogMessageException {
    JsonToken token = in.nextToken();
    if (token != JsonToken.START_ARRAY && token != JsonToken.END_ARRAY) {
      throw new MalformedLogMessageException("truncated message or unexpected token");
    }
    return token == JsonToken.START_ARRAY;
  }

  /** Checks that no data follows. */
  void endOfMessage() throws IOException, MalformedLogMessageException {
    if (in.nextToken() != null) {
      throw new MalformedLogMessageException("data after the end of the message");
    }
  }

  String text() throws IOException, MalformedLogMessageException {
    expect(JsonToken.VALUE_STRING);
    return in.getText();
  }

  String name() throws IOException, MalformedLogMessageException {
    String name = text();
    if (name.length() > MAX_NAME_LENGTH || !name.chars().allMatch(c -> c >= ' ' && c <= '~')) {
      throw new MalformedLogMessageException(
          "name longer than " + MAX_NAME_LENGTH + " characters or not printable ASCII");
    }
    return name;
  }

  long number() throws IOException, MalformedLogMessageException {
    expect(JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  long numberBetween(long min, long max) throws IOException, MalformedLogMessageException {
    long number = number();
    if (number < min || number > max) {
      throw new MalformedLogMessageException("number not from " + min + " to " + max + ": " + number);
    }
    return number;
  }

  long index() throws IOException, MalformedLogMessageException {
    return numberBetween(0, MAX_INDEX);
  }

  boolean bool() throws IOException, MalformedLogMessageException {
    JsonToken token = in.nextToken();
    if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
      throw new MalformedLogMessageException("truncated message or unexpected token");
    }
    return token == JsonToken.VALUE_TRUE;
  }

  Epoch epoch() throws IOException, MalformedLogMessageException {
    Epoch epoch = new Epoch(index(), name(), number());
    boolean isNone = epoch.number() == 0;
    if (isNone != epoch.holder().isEmpty() || isNone && epoch.life() != 0) {
      throw new MalformedLogMessageException("inconsistent epoch");
    }
    return epoch;
  }

  private void expect(JsonToken token) throws IOException, MalformedLogMessageException {
    if (in.nextToken() != token) {
      throw new MalformedLogMessageException("truncated message or unexpected token");
    }
  }
}

package beampoint.fleet.message;

import beampoint.fleet.message.Message.Kind;
import beampoint.settings.FleetSettings;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and writes messages in CBOR (RFC 8949): one array that begins with the name of the cluster and the
 * version of the format. The input may be any bytes: whatever cannot be read results in a {@link
 * MalformedMessageException} and in no other exception.
 */
public final class Codec {

  /** The maximum length of a datagram, which common networks transport without fragmentation. */
  public static final int MAX_DATAGRAM_BYTES = 1_400;

  /** The maximum number of members in a whole view: all others that can be configured, and the sender. */
  public static final int MAX_VIEW_MEMBERS = FleetSettings.MAX_MEMBERS + 1;

  /**
   * The maximum length of one member in a view: two names of the maximum configurable length, an address of
   * up to 100 characters and the numbers.
   */
  private static final int MAX_VIEW_MEMBER_BYTES = 320;

  /** The maximum length of a whole view: a fleet of the largest size fits into one exchange. */
  public static final int MAX_VIEW_BYTES = MAX_VIEW_MEMBERS * MAX_VIEW_MEMBER_BYTES;

  private static final int VERSION = 1;
  private static final int MAX_UPDATES = 32; // per datagram; fewer fit at common lengths
  private static final int MAX_TEXT_LENGTH = 200; // characters of a name or an address
  private static final CBORFactory CBOR = CBORFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(4)
          .maxStringLength(MAX_TEXT_LENGTH).maxNumberLength(20).build())
      .build();

  private final String cluster;

  public Codec(String cluster) {
    this.cluster = cluster;
  }

  /** Encodes a message; updates that would make it too long for a datagram are omitted. */
  public byte[] write(Message message) {
    for (int updates = message.updates().size();; updates--) {
      byte[] bytes = write(message, updates);
      if (bytes.length <= MAX_DATAGRAM_BYTES || updates == 0) {
        return bytes;
      }
    }
  }

  private byte[] write(Message message, int updates) {
    return bytes(message.updates().subList(0, updates), out -> {
      out.writeNumber(message.kind().ordinal());
      out.writeNumber(message.number());
      out.writeString(message.target());
      write(out, message.from());
    });
  }

  /**
   * Encodes a whole view. With very long addresses the view would be longer than the maximum and every
   * receiver would reject it; so some of the last members are omitted, which gossip still propagates.
   */
  public byte[] writeView(List<MemberState> view) {
    for (int members = view.size();; members -= 1 + members / 16) {
      byte[] bytes = bytes(view.subList(0, members), out -> {});
      if (bytes.length <= MAX_VIEW_BYTES) {
        return bytes;
      }
    }
  }

  /** Writes the fields between the common header and the member states. */
  private interface HeaderFields {
    void write(JsonGenerator out) throws IOException;
  }

  private byte[] bytes(List<MemberState> states, HeaderFields fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeString(cluster);
      out.writeNumber(VERSION);
      fields.write(out);
      for (MemberState state : states) {
        write(out, state);
      }
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a message in memory", e);
    }
    return bytes.toByteArray();
  }

  /** Decodes a whole view of this cluster. */
  public List<MemberState> readView(byte[] bytes) throws MalformedMessageException {
    try (JsonParser in = CBOR.createParser(bytes)) {
      readHeader(in);
      return readStates(in, MAX_VIEW_MEMBERS);
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("invalid view: " + e.getMessage());
    }
  }

  private void readHeader(JsonParser in) throws IOException, MalformedMessageException {
    expect(in, JsonToken.START_ARRAY);
    if (!text(in).equals(cluster)) {
      throw new MalformedMessageException("sent by another cluster");
    }
    long version = number(in);
    if (version != VERSION) {
      throw new MalformedMessageException("version other than " + VERSION + ": " + version);
    }
  }

  private static List<MemberState> readStates(JsonParser in, int maxStates)
      throws IOException, MalformedMessageException {
    List<MemberState> states = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY && states.size() < maxStates) {
      states.add(readState(in));
    }
    if (in.currentToken() != JsonToken.END_ARRAY || in.nextToken() != null) {
      throw new MalformedMessageException("too many entries, or data after the end");
    }
    return List.copyOf(states);
  }

  private static void write(JsonGenerator out, MemberState state) throws IOException {
    out.writeStartArray();
    out.writeString(state.member());
    out.writeString(state.address());
    out.writeNumber(state.status().ordinal());
    out.writeNumber(state.incarnation());
    out.writeBoolean(state.notReceiving());
    out.writeString(state.reporter());
    out.writeEndArray();
  }

  /** Decodes a message of this cluster from the first {@code length} bytes. */
  public Message read(byte[] bytes, int length) throws MalformedMessageException {
    if (length > MAX_DATAGRAM_BYTES) {
      throw new MalformedMessageException("datagram longer than " + MAX_DATAGRAM_BYTES + " bytes: " + length);
    }
    try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
      readHeader(in);
      Kind kind = decodeEnum(Kind.values(), number(in));
      long number = number(in);
      String target = text(in);
      expect(in, JsonToken.START_ARRAY);
      return new Message(kind, number, readState(in), target, readStates(in, MAX_UPDATES));
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("invalid message: " + e.getMessage());
    }
  }

  private static MemberState readState(JsonParser in) throws IOException, MalformedMessageException {
    String member = text(in);
    String address = text(in);
    Status status = decodeEnum(Status.values(), number(in));
    long incarnation = number(in);
    JsonToken notReceiving = in.nextToken();
    boolean isBoolean = notReceiving == JsonToken.VALUE_TRUE || notReceiving == JsonToken.VALUE_FALSE;
    if (!isBoolean || member.isEmpty() || incarnation < 0) {
      throw new MalformedMessageException("invalid member state");
    }
    MemberState state = new MemberState(member, address, status, incarnation,
        notReceiving == JsonToken.VALUE_TRUE, text(in));
    expect(in, JsonToken.END_ARRAY);
    return state;
  }

  private static <T> T decodeEnum(T[] values, long number) throws MalformedMessageException {
    if (number < 0 || number >= values.length) {
      throw new MalformedMessageException("unknown code: " + number);
    }
    return values[(int) number];
  }

  private static String text(JsonParser in) throws IOException, MalformedMessageException {
    expect(in, JsonToken.VALUE_STRING);
    String text = in.getText();
    // Names are passed on to other members, so a name that could not be encoded there is rejected.
    if (text.length() > MAX_TEXT_LENGTH || !text.chars().allMatch(c -> c >= ' ' && c <= '~')) {
      throw new MalformedMessageException(
          "text longer than " + MAX_TEXT_LENGTH + " characters or not printable ASCII");
    }
    return text;
  }

  private static long number(JsonParser in) throws IOException, MalformedMessageException {
    expect(in, JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  private static void expect(JsonParser in, JsonToken token) throws IOException, MalformedMessageException {
    if (in.nextToken() != token) {
      throw new MalformedMessageException("truncated or in another format");
    }
  }
}

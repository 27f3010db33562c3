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
 * Messages in CBOR (RFC 8949): one array that begins with the cluster's name and the version of the form. Any
 * bytes may come: what can't be read is a {@link MalformedMessageException} and nothing else.
 */
public final class Codec {

  /** The most bytes of a datagram: no usual network cuts it. */
  public static final int MAX_DATAGRAM_BYTES = 1_400;

  /** The most members of a whole view: all others that a proxy may be told of, and itself. */
  public static final int MAX_VIEW_MEMBERS = FleetSettings.MAX_MEMBERS + 1;

  /**
   * The most bytes of one member in a view: two names of the longest that a configuration may have, an
   * address of up to 100 characters and the figures.
   */
  private static final int MAX_VIEW_MEMBER_BYTES = 320;

  /** The most bytes of a whole view: a fleet of the largest size fits in one exchange. */
  public static final int MAX_VIEW_BYTES = MAX_VIEW_MEMBERS * MAX_VIEW_MEMBER_BYTES;

  private static final int VERSION = 1;
  private static final int MAX_NEWS = 32; // of a datagram, which holds fewer of any usual length
  private static final int MAX_TEXT_LENGTH = 200; // of a name or an address
  private static final CBORFactory FORM = CBORFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(4)
          .maxStringLength(MAX_TEXT_LENGTH).maxNumberLength(20).build())
      .build();

  private final String cluster;

  public Codec(String cluster) {
    this.cluster = cluster;
  }

  /** The bytes of a message; news that would make it too long for a datagram are left out. */
  public byte[] write(Message message) {
    for (int news = message.news().size();; news--) {
      byte[] bytes = write(message, news);
      if (bytes.length <= MAX_DATAGRAM_BYTES || news == 0) {
        return bytes;
      }
    }
  }

  private byte[] write(Message message, int news) {
    return bytes(message.news().subList(0, news), out -> {
      out.writeNumber(message.kind().ordinal());
      out.writeNumber(message.number());
      out.writeString(message.about());
      write(out, message.from());
    });
  }

  /**
   * The bytes of a whole view. Guards against one that nobody reads: where addresses are so long that not all
   * members fit, some of the last are left out, of which datagrams tell.
   */
  public byte[] writeView(List<MemberState> view) {
    for (int members = view.size();; members -= 1 + members / 16) {
      byte[] bytes = bytes(view.subList(0, members), out -> {});
      if (bytes.length <= MAX_VIEW_BYTES) {
        return bytes;
      }
    }
  }

  /** What stands between the beginning and the news. */
  private interface Middle {
    void write(JsonGenerator out) throws IOException;
  }

  private byte[] bytes(List<MemberState> news, Middle middle) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = FORM.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeString(cluster);
      out.writeNumber(VERSION);
      middle.write(out);
      for (MemberState item : news) {
        write(out, item);
      }
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("bytes in memory can't be written", e);
    }
    return bytes.toByteArray();
  }

  /** Reads a whole view of this cluster. */
  public List<MemberState> readView(byte[] bytes) throws MalformedMessageException {
    try (JsonParser in = FORM.createParser(bytes)) {
      begin(in);
      return newsToTheEnd(in, MAX_VIEW_MEMBERS);
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("no view: " + e.getMessage());
    }
  }

  private void begin(JsonParser in) throws IOException, MalformedMessageException {
    expect(in, JsonToken.START_ARRAY);
    if (!text(in).equals(cluster)) {
      throw new MalformedMessageException("of another cluster");
    }
    long version = number(in);
    if (version != VERSION) {
      throw new MalformedMessageException("of an unknown version: " + version);
    }
  }

  private static List<MemberState> newsToTheEnd(JsonParser in, int most)
      throws IOException, MalformedMessageException {
    List<MemberState> news = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY && news.size() < most) {
      news.add(news(in));
    }
    if (in.currentToken() != JsonToken.END_ARRAY || in.nextToken() != null) {
      throw new MalformedMessageException("with more than there may be");
    }
    return List.copyOf(news);
  }

  private static void write(JsonGenerator out, MemberState news) throws IOException {
    out.writeStartArray();
    out.writeString(news.member());
    out.writeString(news.address());
    out.writeNumber(news.status().ordinal());
    out.writeNumber(news.incarnation());
    out.writeBoolean(news.notReceiving());
    out.writeString(news.reporter());
    out.writeEndArray();
  }

  /** Reads a message of this cluster. */
  public Message read(byte[] bytes, int length) throws MalformedMessageException {
    if (length > MAX_DATAGRAM_BYTES) {
      throw new MalformedMessageException("longer than a datagram of members: " + length);
    }
    try (JsonParser in = FORM.createParser(bytes, 0, length)) {
      begin(in);
      Kind kind = of(Kind.values(), number(in));
      long number = number(in);
      String about = text(in);
      expect(in, JsonToken.START_ARRAY);
      return new Message(kind, number, news(in), about, newsToTheEnd(in, MAX_NEWS));
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("no message: " + e.getMessage());
    }
  }

  private static MemberState news(JsonParser in) throws IOException, MalformedMessageException {
    String member = text(in);
    String address = text(in);
    Status status = of(Status.values(), number(in));
    long incarnation = number(in);
    JsonToken deaf = in.nextToken();
    boolean flag = deaf == JsonToken.VALUE_TRUE || deaf == JsonToken.VALUE_FALSE;
    if (!flag || member.isEmpty() || incarnation < 0) {
      throw new MalformedMessageException("with odd news");
    }
    MemberState news = new MemberState(member, address, status, incarnation, deaf == JsonToken.VALUE_TRUE, text(in));
    expect(in, JsonToken.END_ARRAY);
    return news;
  }

  private static <T> T of(T[] values, long number) throws MalformedMessageException {
    if (number < 0 || number >= values.length) {
      throw new MalformedMessageException("with an unknown number: " + number);
    }
    return values[(int) number];
  }

  private static String text(JsonParser in) throws IOException, MalformedMessageException {
    expect(in, JsonToken.VALUE_STRING);
    String text = in.getText();
    // Guards against a name that can be read and not written, which who passes it on would fall over.
    if (text.length() > MAX_TEXT_LENGTH || !text.chars().allMatch(c -> c >= ' ' && c <= '~')) {
      throw new MalformedMessageException("with a text that is no name");
    }
    return text;
  }

  private static long number(JsonParser in) throws IOException, MalformedMessageException {
    expect(in, JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  private static void expect(JsonParser in, JsonToken token) throws IOException, MalformedMessageException {
    if (in.nextToken() != token) {
      throw new MalformedMessageException("cut off, or of another form");
    }
  }
}

package beampoint.fleet.distribution;

import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.changes.PurgeChange;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.regex.Pattern;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Encodes texts compactly: keys of hexadecimal digits as bytes, and long documents deflated. */
final class TextCodec {

  private static final Pattern HEX = Pattern.compile("([0-9a-f]{2}){4,}");
  private static final int MIN_DEFLATED_CHARS = 200;

  private TextCodec() {}

  static void writeValue(JsonGenerator out, String value) throws IOException {
    if (HEX.matcher(value).matches()) {
      out.writeBinary(HexFormat.of().parseHex(value));
    } else {
      out.writeString(value);
    }
  }

  static String readValue(MessageReader in) throws IOException, MalformedMessageException {
    JsonToken token = in.next();
    if (token == JsonToken.VALUE_STRING) {
      return in.currentText();
    }
    byte[] bytes = token == JsonToken.VALUE_EMBEDDED_OBJECT ? in.currentBytes() : new byte[0];
    if (bytes.length == 0 || bytes.length > PurgeChange.MAX_VALUE_BYTES) {
      throw new MalformedMessageException("malformed value of a purge");
    }
    return HexFormat.of().formatHex(bytes);
  }

  static void writeDocument(JsonGenerator out, String document) throws IOException {
    if (document.length() < MIN_DEFLATED_CHARS) {
      out.writeString(document);
    } else {
      out.writeBinary(deflate(document.getBytes(StandardCharsets.UTF_8)));
    }
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(bytes);
      deflater.finish();
      byte[] out = new byte[bytes.length + 64];
      int length = deflater.deflate(out);
      return Arrays.copyOf(out, length);
    } finally {
      deflater.end();
    }
  }

  static String readDocument(MessageReader in) throws IOException, MalformedMessageException {
    JsonToken token = in.next();
    if (token == JsonToken.VALUE_STRING) {
      return in.currentText();
    } else if (token == JsonToken.VALUE_EMBEDDED_OBJECT) {
      return new String(inflate(in.currentBytes()), StandardCharsets.UTF_8);
    }
    throw new MalformedMessageException("document is neither a text nor bytes");
  }

  /** Inflates a document into a buffer of limited size, because a few bytes may inflate to very many. */
  private static byte[] inflate(byte[] bytes) throws MalformedMessageException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes);
      byte[] out = new byte[ConfigurationChange.MAX_DOCUMENT_BYTES + 1];
      int length = inflater.inflate(out);
      if (!inflater.finished() || length > ConfigurationChange.MAX_DOCUMENT_BYTES) {
        throw new MalformedMessageException("document is truncated or longer than "
            + ConfigurationChange.MAX_DOCUMENT_BYTES + " bytes");
      }
      return Arrays.copyOf(out, length);
    } catch (DataFormatException e) {
      throw new MalformedMessageException("document can't be inflated", e);
    } finally {
      inflater.end();
    }
  }
}

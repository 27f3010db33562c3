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

/** Texts in as few bytes as is cheap: keys of hexadecimal digits as bytes, long documents deflated. */
final class TextForm {

  private static final Pattern HEX = Pattern.compile("([0-9a-f]{2}){4,}");
  private static final int WORTH_DEFLATING = 200; // characters

  private TextForm() {}

  static void writeValue(JsonGenerator out, String value) throws IOException {
    if (HEX.matcher(value).matches()) {
      out.writeBinary(HexFormat.of().parseHex(value));
    } else {
      out.writeString(value);
    }
  }

  static String value(MessageReader in) throws IOException, MalformedMessageException {
    JsonToken token = in.next();
    if (token == JsonToken.VALUE_STRING) {
      return in.text();
    }
    byte[] bytes = token == JsonToken.VALUE_EMBEDDED_OBJECT ? in.bytes() : new byte[0];
    if (bytes.length == 0 || bytes.length > PurgeChange.MAX_VALUE_BYTES) {
      throw new MalformedMessageException("with a value of another form");
    }
    return HexFormat.of().formatHex(bytes);
  }

  static void writeDocument(JsonGenerator out, String document) throws IOException {
    if (document.length() < WORTH_DEFLATING) {
      out.writeString(document);
    } else {
      out.writeBinary(deflated(document.getBytes(StandardCharsets.UTF_8)));
    }
  }

  private static byte[] deflated(byte[] bytes) {
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

  static String document(MessageReader in) throws IOException, MalformedMessageException {
    JsonToken token = in.next();
    if (token == JsonToken.VALUE_STRING) {
      return in.text();
    } else if (token == JsonToken.VALUE_EMBEDDED_OBJECT) {
      return new String(inflated(in.bytes()), StandardCharsets.UTF_8);
    }
    throw new MalformedMessageException("with a document of another form");
  }

  /** Guards against few bytes that would become very many. */
  private static byte[] inflated(byte[] bytes) throws MalformedMessageException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes);
      byte[] out = new byte[ConfigurationChange.MAX_DOCUMENT_BYTES + 1];
      int length = inflater.inflate(out);
      if (!inflater.finished() || length > ConfigurationChange.MAX_DOCUMENT_BYTES) {
        throw new MalformedMessageException("with a document that is too long, or cut off");
      }
      return Arrays.copyOf(out, length);
    } catch (DataFormatException e) {
      throw new MalformedMessageException("with a document that can't be inflated", e);
    } finally {
      inflater.end();
    }
  }
}

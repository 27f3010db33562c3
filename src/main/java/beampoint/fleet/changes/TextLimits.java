package beampoint.fleet.changes;

/** Checks the length of texts, counted in bytes of UTF-8, and the versions of formats. */
final class TextLimits {

  private static final int MAX_VERSION = 1_000_000;

  private TextLimits() {}

  /** The length of a text in UTF-8, or -1 if it has an unpaired surrogate, which can't be encoded. */
  static int utf8Length(String text) {
    int bytes = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < 0x80) {
        bytes += 1;
      } else if (c < 0x800) {
        bytes += 2;
      } else if (!Character.isSurrogate(c)) {
        bytes += 3;
      } else if (Character.isHighSurrogate(c) && i + 1 < text.length()
          && Character.isLowSurrogate(text.charAt(i + 1))) {
        bytes += 4;
        i++;
      } else {
        return -1;
      }
    }
    return bytes;
  }

  static void checkLength(String field, String text, int min, int max) {
    int bytes = text == null ? -1 : utf8Length(text);
    if (bytes < min || bytes > max) {
      throw new IllegalArgumentException("length of " + field + ": " + bytes + " bytes, not " + min
          + " to " + max);
    }
  }

  static void checkVersion(int version) {
    if (version < 1 || version > MAX_VERSION) {
      throw new IllegalArgumentException("format version out of range: " + version);
    }
  }
}

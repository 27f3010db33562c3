package beampoint.fleet.changes;

/** Bounds of texts, counted in bytes of UTF-8. */
final class Texts {

  private static final int MAX_VERSION = 1_000_000;

  private Texts() {}

  /** The length of a text in UTF-8, or -1 where it has half of a surrogate pair and can't be written. */
  static int bytes(String text) {
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

  static void check(String what, String text, int least, int most) {
    int bytes = text == null ? -1 : bytes(text);
    if (bytes < least || bytes > most) {
      throw new IllegalArgumentException("the " + what + " has " + bytes + " bytes, not " + least
          + " to " + most);
    }
  }

  static void checkVersion(int version) {
    if (version < 1 || version > MAX_VERSION) {
      throw new IllegalArgumentException("no version of a form: " + version);
    }
  }
}

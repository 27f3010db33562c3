package beampoint.fleet.changes;

/**
 * New settings.
 *
 * @param document the whole document of settings, which replaces the one before
 */
public record ConfigurationChange(int formatVersion, String document) implements Change {

  /** The most bytes of a document of settings, in UTF-8. */
  public static final int MAX_DOCUMENT_BYTES = 64 * 1024;

  public ConfigurationChange {
    TextLimits.checkVersion(formatVersion);
    TextLimits.checkLength("document", document, 0, MAX_DOCUMENT_BYTES);
  }

  @Override
  public int weight() {
    return TextLimits.utf8Length(document);
  }
}

package beampoint.fleet.changes;

/**
 * A new configuration.
 *
 * @param document the complete settings document, which replaces the previous one
 */
public record ConfigurationChange(int formatVersion, String document) implements Change {

  /** The maximum length of a settings document in bytes of UTF-8. */
  public static final int MAX_DOCUMENT_BYTES = 64 * 1024;

  public ConfigurationChange {
    TextLimits.checkVersion(formatVersion);
    TextLimits.checkLength("document", document, 0, MAX_DOCUMENT_BYTES);
  }

  @Override
  public int contentBytes() {
    return TextLimits.utf8Length(document);
  }
}

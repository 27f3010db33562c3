package beampoint.fleet.changes;

/**
 * Invalidates cached values.
 *
 * @param value the key, key prefix or tenant, depending on the scope
 * @param requestedAtMs when the purge was requested, in ms since 1970 by the submitter's clock; it does not
 *     determine the order of changes
 */
public record PurgeChange(int formatVersion, PurgeScope scope, String value, long requestedAtMs)
    implements Change {

  /** The maximum length of a key, prefix or tenant in bytes of UTF-8. */
  public static final int MAX_VALUE_BYTES = 1_024;

  public PurgeChange {
    TextLimits.checkVersion(formatVersion);
    if (scope == null) {
      throw new IllegalArgumentException("purge without a scope");
    }
    TextLimits.checkLength("value", value, 1, MAX_VALUE_BYTES);
  }

  @Override
  public int contentBytes() {
    return TextLimits.utf8Length(value);
  }
}

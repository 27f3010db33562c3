package beampoint.fleet.changes;

/**
 * Cached values that are no longer valid.
 *
 * @param value the key, the beginning of keys or the tenant, as the scope says
 * @param requestedAtMs when it was asked for, in ms since 1970 by the submitter's clock; no order follows
 *     from it
 */
public record PurgeChange(int formatVersion, PurgeScope scope, String value, long requestedAtMs)
    implements Change {

  /** The most bytes of a key, prefix or tenant, in UTF-8. */
  public static final int MAX_VALUE_BYTES = 1_024;

  public PurgeChange {
    TextLimits.checkVersion(formatVersion);
    if (scope == null) {
      throw new IllegalArgumentException("a purge without a scope");
    }
    TextLimits.checkLength("value", value, 1, MAX_VALUE_BYTES);
  }

  @Override
  public int weight() {
    return TextLimits.utf8Length(value);
  }
}

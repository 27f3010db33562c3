package beampoint.fleet.changes;

/**
 * Identifies a submitted change. A change that is submitted again under the same identifier is committed
 * once.
 *
 * @param origin the unique name of the submitter
 * @param number a number that the submitter increases with each of its changes
 */
public record ChangeId(String origin, long number) {

  /** The maximum length of a submitter's name in bytes of UTF-8. */
  public static final int MAX_ORIGIN_BYTES = 100;

  public ChangeId {
    TextLimits.checkLength("origin", origin, 1, MAX_ORIGIN_BYTES);
    if (number < 0) {
      throw new IllegalArgumentException("change number is negative: " + number);
    }
  }
}

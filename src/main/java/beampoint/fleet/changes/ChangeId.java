package beampoint.fleet.changes;

/**
 * Identifies a submitted change. A change that is submitted again under the same identifier is committed
 * once.
 *
 * @param submitter the unique name of the submitter
 * @param number a number that the submitter increases with each of its changes
 */
public record ChangeId(String submitter, long number) {

  /** The maximum length of a submitter's name in bytes of UTF-8. */
  public static final int MAX_SUBMITTER_BYTES = 100;

  public ChangeId {
    TextLimits.checkLength("submitter", submitter, 1, MAX_SUBMITTER_BYTES);
    if (number < 0) {
      throw new IllegalArgumentException("change number is negative: " + number);
    }
  }
}

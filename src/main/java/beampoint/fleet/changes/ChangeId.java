package beampoint.fleet.changes;

/**
 * Names a submitted change, chosen by its submitter: submitted again under the same name, it is committed
 * once.
 *
 * @param origin the submitter's name, which no other submitter has
 * @param number rises with each change of the submitter
 */
public record ChangeId(String origin, long number) {

  /** The most bytes of a submitter's name. */
  public static final int MAX_ORIGIN_BYTES = 100;

  public ChangeId {
    TextLimits.checkLength("origin", origin, 1, MAX_ORIGIN_BYTES);
    if (number < 0) {
      throw new IllegalArgumentException("a change's number is negative: " + number);
    }
  }
}

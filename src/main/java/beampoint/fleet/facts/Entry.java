package beampoint.fleet.facts;

/**
 * One fact, or the tombstone of one.
 *
 * @param value null for a tombstone
 * @param left the time that it has, in ms from when it was said
 */
public record Entry(String key, String value, Stamp stamp, double left) {

  /** True where nothing is known under the key any longer. */
  public boolean isTombstone() {
    return value == null;
  }

  /** The same with so much time left. */
  public Entry withLeft(double time) {
    return new Entry(key, value, stamp, time);
  }

  /**
   * The one of two that stands: the greater stamp, then what a writer that restarted may have said under one
   * stamp, by its text, then the one with more time. A total order, so that merging has one result.
   */
  Entry max(Entry other) {
    int order = stamp.compareTo(other.stamp);
    order = order != 0 ? order : text().compareTo(other.text());
    order = order != 0 ? order : Double.compare(left, other.left);
    return order >= 0 ? this : other;
  }

  /** A tombstone goes before any value. */
  private String text() {
    return value == null ? "" : "=" + value;
  }
}

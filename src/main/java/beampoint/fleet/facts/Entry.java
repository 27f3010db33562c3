package beampoint.fleet.facts;

/**
 * An entry of the replicated map: a value of a key, or a tombstone that marks the value as deleted.
 *
 * @param value null for a tombstone
 * @param remaining the time until it expires, in ms from when it was sent
 */
public record Entry(String key, String value, Stamp stamp, double remaining) {

  /** True if the value of the key was deleted. */
  public boolean isTombstone() {
    return value == null;
  }

  /** The same entry with another remaining time. */
  public Entry withRemaining(double time) {
    return new Entry(key, value, stamp, time);
  }

  /**
   * Returns the entry that takes precedence: the one with the greater stamp; of equal stamps, which a
   * restarted writer may have used twice, the one with the greater value; then the one with more remaining
   * time. This is a total order, so the result of merging is unique.
   */
  Entry max(Entry other) {
    int order = stamp.compareTo(other.stamp);
    order = order != 0 ? order : comparedText().compareTo(other.comparedText());
    order = order != 0 ? order : Double.compare(remaining, other.remaining);
    return order >= 0 ? this : other;
  }

  /** The text by which values are compared; a tombstone sorts before any value. */
  private String comparedText() {
    return value == null ? "" : "=" + value;
  }
}

package beampoint.fleet.facts;

/**
 * An entry of the replicated map: a value of a key, or a tombstone that marks the value as deleted.
 *
 * @param value null for a tombstone
 * @param timeToLiveMs the time in ms until the entry expires, measured from when it was read from a map or
 *     sent
 */
public record Entry(String key, String value, Stamp stamp, double timeToLiveMs) {

  /** True if the value of the key was deleted. */
  public boolean isTombstone() {
    return value == null;
  }

  /** The same entry with another time to live. */
  public Entry withTimeToLive(double newTimeToLiveMs) {
    return new Entry(key, value, stamp, newTimeToLiveMs);
  }

  /**
   * Returns the entry that takes precedence: the one with the greater stamp; of equal stamps, which a
   * restarted writer may have used twice, the one with the greater value; then the one with the longer time
   * to live. This is a total order, so the result of merging is unique.
   */
  Entry max(Entry other) {
    int order = stamp.compareTo(other.stamp);
    order = order != 0 ? order : comparedText().compareTo(other.comparedText());
    order = order != 0 ? order : Double.compare(timeToLiveMs, other.timeToLiveMs);
    return order >= 0 ? this : other;
  }

  /** The text by which values are compared; a tombstone sorts before any value. */
  private String comparedText() {
    return value == null ? "" : "=" + value;
  }
}

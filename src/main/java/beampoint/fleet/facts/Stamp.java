package beampoint.fleet.facts;

/**
 * Determines which of two entries of a key takes precedence: a final one, then the one of the later epoch,
 * then the one with the higher version, then the one with the greater name of the writer.
 *
 * @param isFinal true for an entry that no later one may replace, such as an order that stops an ongoing
 *     rollout
 * @param version a number that the writer increments
 */
public record Stamp(boolean isFinal, Epoch epoch, long version, String writer) implements Comparable<Stamp> {

  @Override
  public int compareTo(Stamp other) {
    int order = Boolean.compare(isFinal, other.isFinal);
    order = order != 0 ? order : epoch.compareTo(other.epoch);
    order = order != 0 ? order : Long.compare(version, other.version);
    return order != 0 ? order : writer.compareTo(other.writer);
  }
}

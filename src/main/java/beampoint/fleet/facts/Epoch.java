package beampoint.fleet.facts;

/**
 * Identifies one term of a leader or lease holder. Epochs are ordered by number, then by the name of the
 * holder and the random number of its process, so no two processes use the same epoch and all epochs have a
 * total order.
 *
 * @param number 0 for {@link #NONE}, otherwise at least 1
 * @param holder the name of the member
 * @param life identifies the process of the holder: a random number drawn at its start
 */
public record Epoch(long number, String holder, long life) implements Comparable<Epoch> {

  /** The epoch that belongs to no member and precedes all others. */
  public static final Epoch NONE = new Epoch(0, "", 0);

  @Override
  public int compareTo(Epoch other) {
    int order = Long.compare(number, other.number);
    order = order != 0 ? order : holder.compareTo(other.holder);
    return order != 0 ? order : Long.compare(life, other.life);
  }

  /** Returns the later of two epochs. */
  public Epoch max(Epoch other) {
    return compareTo(other) >= 0 ? this : other;
  }
}

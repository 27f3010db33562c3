package beampoint.fleet.facts;

/**
 * Under which somebody acted. The number comes first, then the name and the life of who acted: two never act
 * under one epoch, and all of them have one order.
 *
 * @param number 0 for nobody's, else 1 and up
 * @param holder the member's name
 * @param life drawn at the start of its process
 */
public record Epoch(long number, String holder, long life) implements Comparable<Epoch> {

  public static final Epoch NONE = new Epoch(0, "", 0);

  @Override
  public int compareTo(Epoch other) {
    int order = Long.compare(number, other.number);
    order = order != 0 ? order : holder.compareTo(other.holder);
    return order != 0 ? order : Long.compare(life, other.life);
  }

  public Epoch max(Epoch other) {
    return compareTo(other) >= 0 ? this : other;
  }
}

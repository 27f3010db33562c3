package beampoint.fleet.facts;

/**
 * What decides between two entries of one key: what is final wins, then the later epoch, then the higher
 * version, then the writer's name.
 *
 * @param isFinal true for what nothing may undo, as a halt
 * @param version counted by the writer
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

package beampoint.policy.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The sorted points of a hash ring, each with the node that owns it. */
public final class RingPoints {

  /** Largest number of owners at one time; a power of two. */
  private static final long MAX_SLOTS = 1 << 16;

  /** The upper bits hold a point's position, the lowest bits its owner's slot. */
  private long[] points = new long[0];
  private final List<Node> slots = new ArrayList<>();
  private int replacements;

  public int size() {
    return points.length;
  }

  /** Number of times that points were replaced. */
  public int replacements() {
    return replacements;
  }

  /**
   * The index of the first point at or after a hash; {@link #size} if there is none, which is the point at 0.
   */
  public int firstIndexFrom(long hash) {
    int found = Arrays.binarySearch(points, hash & -MAX_SLOTS);
    return found >= 0 ? found : -found - 1;
  }

  /** The owner of the point at an index, modulo the number of points. */
  public Node owner(int index) {
    return slots.get((int) (points[index % points.length] & MAX_SLOTS - 1));
  }

  /**
   * Replaces the points of the given nodes by {@code pointCount} new ones each; those of other nodes stay.
   */
  public void replace(List<Node> owners) {
    if (owners.isEmpty()) {
      return;
    }
    replacements++;
    boolean[] moved = new boolean[slots.size()];
    int added = 0;
    for (Node node : owners) {
      added += node.pointCount;
      if (node.ringSlot >= 0) {
        moved[node.ringSlot] = true;
      }
    }
    long[] next = new long[points.length + added];
    int kept = 0;
    for (long point : points) {
      next[kept] = point;
      kept += moved[(int) (point & MAX_SLOTS - 1)] ? 0 : 1;
    }
    int end = kept;
    for (Node node : owners) {
      assignSlot(node);
      long sequence = Hash.of(node.endpoint.id());
      for (int i = 0; i < node.pointCount; i++) {
        next[end++] = Hash.of(sequence + i) & -MAX_SLOTS | node.ringSlot;
      }
    }
    // Both parts are sorted now; the sort of the library merges such runs.
    Arrays.sort(next, kept, end);
    Arrays.sort(next, 0, end);
    points = Arrays.copyOf(next, end);
  }

  /** Gives a node a free slot if it has points, and frees its slot if not. */
  private void assignSlot(Node node) {
    if (node.ringSlot >= 0) {
      slots.set(node.ringSlot, null);
      node.ringSlot = -1;
    }
    if (node.pointCount > 0) {
      if (!slots.contains(null)) {
        slots.add(null);
      }
      node.ringSlot = slots.indexOf(null);
      slots.set(node.ringSlot, node);
    }
  }
}

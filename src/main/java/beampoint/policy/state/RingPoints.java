package beampoint.policy.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The points of a ring in order, each with its owner: a container; who has how many is decided elsewhere. */
public final class RingPoints {

  /** Owners that can be told apart at one time. */
  private static final long MAX_SLOTS = 1 << 16;

  /** The upper bits say where a point lies, the lowest name its owner's slot. */
  private long[] points = new long[0];
  private final List<Node> slots = new ArrayList<>();
  private int changes;

  public int size() {
    return points.length;
  }

  /** How often points were changed. */
  public int changes() {
    return changes;
  }

  /** The place of the first point clockwise from a hash. */
  public int after(long hash) {
    int found = Arrays.binarySearch(points, hash & -MAX_SLOTS);
    return found >= 0 ? found : -found - 1;
  }

  /** The owner of the point so many places on. */
  public Node owner(int place) {
    return slots.get((int) (points[place % points.length] & MAX_SLOTS - 1));
  }

  /** Replaces all points of these owners by as many as each now has; those of the others stay. */
  public void replace(List<Node> owners) {
    if (owners.isEmpty()) {
      return;
    }
    changes++;
    boolean[] moved = new boolean[slots.size()];
    int added = 0;
    for (Node node : owners) {
      added += node.points;
      if (node.slot >= 0) {
        moved[node.slot] = true;
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
      settle(node);
      long sequence = Hash.of(node.entry.id());
      for (int i = 0; i < node.points; i++) {
        next[end++] = Hash.of(sequence + i) & -MAX_SLOTS | node.slot;
      }
    }
    // Two sorted runs, which the library's sort merges instead of sorting anew.
    Arrays.sort(next, kept, end);
    Arrays.sort(next, 0, end);
    points = Arrays.copyOf(next, end);
  }

  /** An owner has a slot as long as it has points. */
  private void settle(Node node) {
    if (node.slot >= 0) {
      slots.set(node.slot, null);
      node.slot = -1;
    }
    if (node.points > 0) {
      if (!slots.contains(null)) {
        slots.add(null);
      }
      node.slot = slots.indexOf(null);
      slots.set(node.slot, node);
    }
  }
}

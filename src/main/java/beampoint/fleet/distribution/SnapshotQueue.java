package beampoint.fleet.distribution;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Who waits for a snapshot. They are sent at a bounded pace, so that a zone that starts again takes nothing
 * from those that are up to date.
 */
final class SnapshotQueue {

  private static final int MAX_WAITING = 1_024;
  private static final double CREDIT = 100; // ms of the pace that may be made up for

  private final double gap;
  private final Set<String> waiting = new LinkedHashSet<>();
  private double nextAt = Double.NEGATIVE_INFINITY;

  /** A queue with so many ms between two snapshots in the mean. */
  SnapshotQueue(double gap) {
    this.gap = gap;
  }

  /** Who asks again keeps its place; who finds no room asks again later. */
  void add(String name) {
    if (waiting.size() < MAX_WAITING) {
      waiting.add(name);
    }
  }

  /** Takes out those whose turn it is. */
  List<String> due(double now) {
    List<String> due = new ArrayList<>();
    for (Iterator<String> each = waiting.iterator(); each.hasNext() && now >= nextAt;) {
      due.add(each.next());
      each.remove();
      nextAt = Math.max(nextAt, now - CREDIT) + gap;
    }
    return due;
  }
}

package beampoint.fleet.distribution;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The members that wait for a snapshot. Snapshots are sent at a limited rate, so that many members that start
 * at the same time, as those of a zone, do not delay the batches to members that are up to date.
 */
final class SnapshotQueue {

  private static final int MAX_WAITING = 1_024;

  /** How far sending may lag behind its schedule and still catch up. */
  private static final double MAX_CATCH_UP_MS = 100;

  private final double interval;
  private final Set<String> waiting = new LinkedHashSet<>();
  private double nextAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates an empty queue.
   *
   * @param interval the mean time between two snapshots in ms
   */
  SnapshotQueue(double interval) {
    this.interval = interval;
  }

  /** Adds a member unless it already waits or the queue is full; a rejected member requests again later. */
  void add(String name) {
    if (waiting.size() < MAX_WAITING) {
      waiting.add(name);
    }
  }

  /** Removes and returns the members to which a snapshot is due. */
  List<String> takeDue(double now) {
    List<String> due = new ArrayList<>();
    for (Iterator<String> each = waiting.iterator(); each.hasNext() && now >= nextAt;) {
      due.add(each.next());
      each.remove();
      nextAt = Math.max(nextAt, now - MAX_CATCH_UP_MS) + interval;
    }
    return due;
  }
}

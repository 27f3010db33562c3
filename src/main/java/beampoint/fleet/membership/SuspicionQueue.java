package beampoint.fleet.membership;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Suspicions ordered by their deadlines, before and after their final probe. A suspicion that cannot end in a
 * death any more, because a datagram of its member has arrived since the suspicion started, is in neither
 * order until it is restarted.
 */
final class SuspicionQueue {

  private static final Comparator<Suspicion> BY_DEADLINE =
      Comparator.comparingDouble(Suspicion::deadline).thenComparing(Suspicion::name);

  private final Set<Suspicion> all = new LinkedHashSet<>();
  private final TreeSet<Suspicion> beforeFinalProbe = new TreeSet<>(BY_DEADLINE);
  private final TreeSet<Suspicion> afterFinalProbe = new TreeSet<>(BY_DEADLINE);

  Set<Suspicion> all() {
    return all;
  }

  /** Adds a suspicion, or reorders one by a new deadline. Deadlines must be set only through this method. */
  void put(Suspicion suspicion, double deadline) {
    unlink(suspicion);
    all.add(suspicion);
    suspicion.deadline = deadline;
    (suspicion.finalProbeSent ? afterFinalProbe : beforeFinalProbe).add(suspicion);
  }

  void markFinalProbeSent(Suspicion suspicion) {
    beforeFinalProbe.remove(suspicion);
    suspicion.finalProbeSent = true;
    afterFinalProbe.add(suspicion);
  }

  /** Removes a suspicion from the orders by deadline but keeps it among all suspicions. */
  void unlink(Suspicion suspicion) {
    beforeFinalProbe.remove(suspicion);
    afterFinalProbe.remove(suspicion);
  }

  void remove(Suspicion suspicion) {
    unlink(suspicion);
    all.remove(suspicion);
  }

  /**
   * Adds the suspicions that await their final probe and whose deadline is at most {@code withinMs} after
   * now, by member name.
   */
  void collectBeforeFinalProbe(double now, double withinMs, NavigableMap<String, Suspicion> due) {
    collect(beforeFinalProbe, now, withinMs, due);
  }

  /** Adds the suspicions whose final probe was sent and whose deadline has passed, by member name. */
  void collectExpired(double now, NavigableMap<String, Suspicion> due) {
    collect(afterFinalProbe, now, 0, due);
  }

  private static void collect(SortedSet<Suspicion> from, double now, double withinMs,
      NavigableMap<String, Suspicion> due) {
    for (Suspicion suspicion : from) {
      if (suspicion.deadline - now > withinMs) {
        break;
      }
      due.put(suspicion.name(), suspicion);
    }
  }
}

package beampoint.fleet.membership;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Suspicions in the order of their deadlines: those that await their last probe, and those that had it. One
 * that can't end in death any more, as its member was heard since, is in neither until it is restarted.
 */
final class SuspicionQueue {

  private static final Comparator<Suspicion> BY_DEADLINE =
      Comparator.comparingDouble(Suspicion::deadline).thenComparing(Suspicion::name);

  private final Set<Suspicion> all = new LinkedHashSet<>();
  private final TreeSet<Suspicion> beforeLastProbe = new TreeSet<>(BY_DEADLINE);
  private final TreeSet<Suspicion> afterLastProbe = new TreeSet<>(BY_DEADLINE);

  Set<Suspicion> all() {
    return all;
  }

  /** Adds a suspicion, or puts one where it belongs by a new deadline; it is the only way to set one. */
  void put(Suspicion suspicion, double deadline) {
    unlink(suspicion);
    all.add(suspicion);
    suspicion.deadline = deadline;
    (suspicion.lastProbeSent ? afterLastProbe : beforeLastProbe).add(suspicion);
  }

  void lastProbeSent(Suspicion suspicion) {
    beforeLastProbe.remove(suspicion);
    suspicion.lastProbeSent = true;
    afterLastProbe.add(suspicion);
  }

  /** Keeps it as a suspicion that has no end. */
  void unlink(Suspicion suspicion) {
    beforeLastProbe.remove(suspicion);
    afterLastProbe.remove(suspicion);
  }

  void remove(Suspicion suspicion) {
    unlink(suspicion);
    all.remove(suspicion);
  }

  /** Adds those whose last probe is due within so long, by their names. */
  void collectBeforeLastProbe(double now, double within, NavigableMap<String, Suspicion> due) {
    collect(beforeLastProbe, now, within, due);
  }

  /** Adds those that had their last probe and whose time is over, by their names. */
  void collectOver(double now, NavigableMap<String, Suspicion> due) {
    collect(afterLastProbe, now, 0, due);
  }

  private static void collect(SortedSet<Suspicion> from, double now, double within,
      NavigableMap<String, Suspicion> due) {
    for (Suspicion suspicion : from) {
      if (suspicion.deadline - now > within) {
        break;
      }
      due.put(suspicion.name(), suspicion);
    }
  }
}

package beampoint.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The measured stalls of each party of a run, which is the harness or a process. Stalls explain an exceeded
 * time limit only if a single party was stalled for at least the excess within the interval of the violation.
 */
final class StallTrace {

  /** An interval during which a party was stalled in part; the tolerated time explains nothing. All in ms. */
  private record Stall(double from, double to, double stalledMs, double toleratedMs) {

    double stalledMsWithin(double begin, double end) {
      double overlap = Math.min(end, to) - Math.max(begin, from);
      return overlap <= 0 ? 0 : Math.max(0, stalledMs * overlap / (to - from) - toleratedMs);
    }
  }

  private final Map<String, List<Stall>> stalls = new TreeMap<>(); // by party

  /** Adds a party's stall of {@code stalledMs} somewhere between two times. */
  synchronized void add(String party, double from, double to, double stalledMs) {
    add(party, new Stall(from, to, stalledMs, 0));
  }

  /** Adds a pause of a process by the harness; the pause that it has to tolerate explains nothing. */
  synchronized void addPause(String party, double from, double to) {
    add(party, new Stall(from, to, to - from, Bounds.MAX_PAUSE_MS));
  }

  private void add(String party, Stall stall) {
    stalls.computeIfAbsent(party, name -> new ArrayList<>()).add(stall);
  }

  /** The longest time for which any single party was stalled between two times, in ms. */
  synchronized double longestStallMs(double begin, double end) {
    return stalls.values().stream()
        .mapToDouble(list -> list.stream().mapToDouble(stall -> stall.stalledMsWithin(begin, end)).sum())
        .max().orElse(0);
  }

  /** True if a single party was stalled for at least the excess of a violation within its interval. */
  boolean explains(Violation violation) {
    return violation.excessMs() <= longestStallMs(violation.from(), violation.at());
  }
}

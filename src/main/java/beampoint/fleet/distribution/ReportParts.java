package beampoint.fleet.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * What children reported and is to be passed on to the parent, once each; and which of it the leader has
 * seen. Members are named one by one up to the leader: counts would count a proxy twice that has just found
 * another parent, and so hide one that is missing.
 */
final class ReportParts {

  static final int MAX_MEMBERS = 48; // in one report, so that it fits a datagram
  private static final int MAX_WAITING = 2_048;
  private static final int MAX_PARTS_IN_DOUBT = 256;

  /** A child's report that was or will be passed on. */
  record Passed(String child, long session, long token, List<MemberProgress> progress) {}

  /** One report to the parent, and what the leader has seen once this one is echoed. */
  record Part(long token, double sentAt, boolean hasSelf, List<Passed> passed) {

    List<MemberProgress> progress() {
      return passed.stream().flatMap(p -> p.progress().stream()).toList();
    }
  }

  private final Deque<Passed> waiting = new ArrayDeque<>();
  private final TreeMap<Long, Part> inDoubt = new TreeMap<>();
  private long lastToken;

  void add(Passed report) {
    if (waiting.size() >= MAX_WAITING) {
      waiting.removeFirst(); // it is not echoed, and will be said again
    }
    waiting.addLast(report);
  }

  boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** Takes the next part out of what waits; the first of a round has the member itself. */
  Part next(double now, boolean hasSelf) {
    List<Passed> passed = new ArrayList<>();
    int members = hasSelf ? 1 : 0;
    while (!waiting.isEmpty()
        && (passed.isEmpty() || members + waiting.peekFirst().progress().size() <= MAX_MEMBERS)) {
      members += waiting.peekFirst().progress().size();
      passed.add(waiting.removeFirst());
    }
    Part part = new Part(++lastToken, now, hasSelf, passed);
    inDoubt.put(part.token(), part);
    if (inDoubt.size() > MAX_PARTS_IN_DOUBT) {
      inDoubt.pollFirstEntry();
    }
    return part;
  }

  /** The part of an echoed token; null where it was echoed before, or is forgotten. */
  Part echoed(long token) {
    return inDoubt.remove(token);
  }

  /** A new subscription: what was said in the one before is in doubt for ever. */
  void restart() {
    inDoubt.clear();
  }

}

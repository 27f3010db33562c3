package beampoint.fleet.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * Forwards each report of a child to the parent once, and keeps track of which ones the leader has received.
 * The progress of each proxy is forwarded separately up to the leader: sums over subtrees could include a
 * proxy twice that has just changed its parent, and so hide one that is missing.
 */
final class ReportForwarder {

  static final int MAX_MEMBERS = 48; // in one report, so that it fits into a datagram
  private static final int MAX_PENDING = 2_048;
  private static final int MAX_UNCONFIRMED = 256;

  /** A child's report that is to be forwarded or has been. */
  record ChildReport(String child, long session, long token, List<MemberProgress> progress) {}

  /** One report to the parent, with the child reports that are confirmed together with it. */
  record OutgoingReport(long token, double sentAt, boolean includesSelf, List<ChildReport> childReports) {

    List<MemberProgress> progress() {
      return childReports.stream().flatMap(r -> r.progress().stream()).toList();
    }
  }

  private final Deque<ChildReport> pending = new ArrayDeque<>();
  private final TreeMap<Long, OutgoingReport> unconfirmed = new TreeMap<>();
  private long lastToken;

  /** Queues a child's report; if the queue is full, the oldest one is dropped. */
  void add(ChildReport report) {
    if (pending.size() >= MAX_PENDING) {
      pending.removeFirst(); // the child gets no echo for it, and reports again
    }
    pending.addLast(report);
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  /**
   * Builds the next report to the parent from the pending ones.
   *
   * @param includesSelf whether the member adds its own progress: true for the first report of each round,
   *     unless the member is a control machine
   */
  OutgoingReport next(double now, boolean includesSelf) {
    List<ChildReport> childReports = new ArrayList<>();
    int members = includesSelf ? 1 : 0;
    while (!pending.isEmpty()
        && (childReports.isEmpty() || members + pending.peekFirst().progress().size() <= MAX_MEMBERS)) {
      members += pending.peekFirst().progress().size();
      childReports.add(pending.removeFirst());
    }
    OutgoingReport report = new OutgoingReport(++lastToken, now, includesSelf, childReports);
    unconfirmed.put(report.token(), report);
    if (unconfirmed.size() > MAX_UNCONFIRMED) {
      unconfirmed.pollFirstEntry();
    }
    return report;
  }

  /** Removes and returns the report with an echoed token; null if it was confirmed before or dropped. */
  OutgoingReport confirm(long token) {
    return unconfirmed.remove(token);
  }

  /** Starts a new subscription, under which reports of the previous one can no longer be confirmed. */
  void restart() {
    unconfirmed.clear();
  }

}

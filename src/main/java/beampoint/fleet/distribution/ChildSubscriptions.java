package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.distribution.DistributionAction.Send;
import beampoint.fleet.distribution.DistributionMessage.Batch;
import beampoint.fleet.distribution.DistributionMessage.Report;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members that have subscribed to this one. There is no queue per child, only an index into the shared
 * tail of entries: a slow child costs the others nothing, and falls back to a snapshot once the entries that
 * it needs have been dropped from the tail.
 */
final class ChildSubscriptions {

  /** The maximum number of echoes that wait to be sent to one child. */
  private static final int MAX_PENDING_ECHOES = 16;

  private static final class Child {
    private final long session;
    private double lastHeardAt;
    private double lastSentAt = Double.NEGATIVE_INFINITY;
    private long sentUpTo;
    private long appliedUpTo;
    private final List<Long> echoes = new ArrayList<>();

    Child(long session) {
      this.session = session;
    }
  }

  private final DistributionSettings settings;
  private final Map<String, Child> children = new TreeMap<>();

  ChildSubscriptions(DistributionSettings settings) {
    this.settings = settings;
  }

  int size() {
    return children.size();
  }

  List<String> names() {
    return List.copyOf(children.keySet());
  }

  /** Records a child's report; returns false if the report comes from a new child and there is no room. */
  boolean accept(double now, String name, Report report, long logId) {
    Child child = children.get(name);
    if (child != null && report.session() < child.session) {
      return true; // a late report of an earlier subscription
    }
    if (child == null && children.size() >= settings.maxChildren()) {
      return false;
    }
    if (child == null || report.session() > child.session) {
      child = new Child(report.session());
      children.put(name, child);
    }
    child.lastHeardAt = now;
    if (report.logId() == logId) {
      child.appliedUpTo = Math.max(child.appliedUpTo, report.appliedUpTo());
    }
    child.sentUpTo = Math.max(child.sentUpTo, child.appliedUpTo);
    return true;
  }

  /** Schedules the echo of a child's report that the leader has received. */
  void echo(String name, long session, long token) {
    Child child = children.get(name);
    if (child != null && child.session == session) {
      if (child.echoes.size() >= MAX_PENDING_ECHOES) {
        child.echoes.remove(0);
      }
      child.echoes.add(token);
    }
  }

  void unsubscribe(String name, long session) {
    Child child = children.get(name);
    if (child != null && child.session <= session) {
      children.remove(name);
    }
  }

  void removeTimedOut(double now) {
    children.values().removeIf(child -> now - child.lastHeardAt > settings.childTimeout());
  }

  /** Removes all children, because another log has replaced this one. */
  void clear() {
    children.clear();
  }

  /** Returns the batches that are due, and marks their entries and echoes as sent. */
  List<Send> dueBatches(double now, long logId, long sourceAge, ChangeTail tail) {
    List<Send> sends = new ArrayList<>();
    children.forEach((name, child) -> {
      double sinceLast = now - child.lastSentAt;
      boolean hasUpdates =
          !child.echoes.isEmpty() || child.sentUpTo < tail.last() && availableWindow(child) > 0;
      if (sinceLast >= settings.heartbeatInterval()
          || hasUpdates && sinceLast >= settings.minBatchInterval()) {
        skipToSnapshot(child, tail);
        int batches = 0;
        do {
          sends.add(new Send(name, nextBatch(now, child, logId, sourceAge, tail)));
        } while (++batches < settings.burst() && child.sentUpTo < tail.last() && availableWindow(child) > 0);
      }
    });
    return sends;
  }

  /**
   * Skips the entries that a child lacks if it starts from nothing or is further behind than the tail goes
   * back. The child then notices that it lacks entries, fetches them and gets a snapshot in reply.
   */
  private void skipToSnapshot(Child child, ChangeTail tail) {
    boolean startsFromNothing = child.sentUpTo == 0 && tail.last() > settings.window();
    if (startsFromNothing || child.sentUpTo < tail.base().index()) {
      child.sentUpTo = tail.last();
    }
  }

  private int availableWindow(Child child) {
    return (int) Math.max(0, child.appliedUpTo + settings.window() - child.sentUpTo);
  }

  private Batch nextBatch(double now, Child child, long logId, long sourceAge, ChangeTail tail) {
    List<ChangeEntry> entries =
        tail.entriesFrom(child.sentUpTo + 1, availableWindow(child), settings.batchBytes());
    child.sentUpTo += entries.size();
    child.lastSentAt = now;
    List<Long> echoes = List.copyOf(child.echoes);
    child.echoes.clear();
    return new Batch(logId, child.session, sourceAge, tail.last(), child.sentUpTo, echoes, entries);
  }
}

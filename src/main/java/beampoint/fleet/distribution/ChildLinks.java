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
 * The members that have subscribed to this one. No queue is kept for a child, but an index into the entries
 * that all share: a slow one costs nobody else anything, and falls back to a snapshot once the tail has gone
 * past it.
 */
final class ChildLinks {

  private static final int MAX_ECHOES = 16;

  private static final class Child {
    private final long session;
    private double heardAt;
    private double sentAt = Double.NEGATIVE_INFINITY;
    private long sentUpTo;
    private long appliedUpTo;
    private final List<Long> echoes = new ArrayList<>();

    Child(long session) {
      this.session = session;
    }
  }

  private final DistributionSettings terms;
  private final Map<String, Child> children = new TreeMap<>();

  ChildLinks(DistributionSettings terms) {
    this.terms = terms;
  }

  int size() {
    return children.size();
  }

  List<String> names() {
    return List.copyOf(children.keySet());
  }

  /** Takes a child's report; false where there is no room for another child. */
  boolean take(double now, String name, Report report, long log) {
    Child child = children.get(name);
    if (child != null && report.session() < child.session) {
      return true; // a late report of an earlier subscription
    }
    if (child == null && children.size() >= terms.maxChildren()) {
      return false;
    }
    if (child == null || report.session() > child.session) {
      child = new Child(report.session());
      children.put(name, child);
    }
    child.heardAt = now;
    if (report.log() == log) {
      child.appliedUpTo = Math.max(child.appliedUpTo, report.appliedUpTo());
    }
    child.sentUpTo = Math.max(child.sentUpTo, child.appliedUpTo);
    return true;
  }

  /** The leader has seen a child's report. */
  void echo(String name, long session, long token) {
    Child child = children.get(name);
    if (child != null && child.session == session) {
      if (child.echoes.size() >= MAX_ECHOES) {
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

  void forgetSilent(double now) {
    children.values().removeIf(child -> now - child.heardAt > terms.childTimeout());
  }

  /** Another log has taken this one's place. */
  void clear() {
    children.clear();
  }

  /** The batches that are due. */
  List<Send> due(double now, long log, long sourceAge, ChangeTail tail) {
    List<Send> sends = new ArrayList<>();
    children.forEach((name, child) -> {
      double since = now - child.sentAt;
      boolean hasNews = !child.echoes.isEmpty() || child.sentUpTo < tail.last() && room(child) > 0;
      if (since >= terms.heartbeatInterval() || hasNews && since >= terms.minBatchInterval()) {
        skipToSnapshot(child, tail);
        int batches = 0;
        do {
          sends.add(new Send(name, batch(now, child, log, sourceAge, tail)));
        } while (++batches < terms.burst() && child.sentUpTo < tail.last() && room(child) > 0);
      }
    });
    return sends;
  }

  /**
   * Whoever begins, or is behind by more than is kept, is sent nothing of what it lacks: it finds so, fetches
   * and is answered by a snapshot.
   */
  private void skipToSnapshot(Child child, ChangeTail tail) {
    boolean begins = child.sentUpTo == 0 && tail.last() > terms.window();
    if (begins || child.sentUpTo < tail.base().index()) {
      child.sentUpTo = tail.last();
    }
  }

  private int room(Child child) {
    return (int) Math.max(0, child.appliedUpTo + terms.window() - child.sentUpTo);
  }

  private Batch batch(double now, Child child, long log, long sourceAge, ChangeTail tail) {
    List<ChangeEntry> entries = tail.from(child.sentUpTo + 1, room(child), terms.batchBytes());
    child.sentUpTo += entries.size();
    child.sentAt = now;
    List<Long> echoes = List.copyOf(child.echoes);
    child.echoes.clear();
    return new Batch(log, child.session, sourceAge, tail.last(), child.sentUpTo, echoes, entries);
  }
}

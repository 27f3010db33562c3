package beampoint.fleet.changes;

import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.SubmitOutcome.Committed;
import beampoint.fleet.changes.SubmitOutcome.NotLeader;
import beampoint.fleet.changes.SubmitOutcome.Reason;
import beampoint.fleet.changes.SubmitOutcome.Refused;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** How changes are taken: each one once, and no more at a time than there is room for. */
final class Submissions {

  /** What a change takes beside its content, at most. */
  private static final int FIXED_WEIGHT = 64 + ChangeId.MAX_ORIGIN_BYTES;

  private Submissions() {}

  static void submit(Turn turn, Submit change) {
    if (!Leader.leads(turn)) {
      answer(turn, change.id(), new NotLeader(turn.leader));
      return;
    }
    Optional<ChangeEntry> known = turn.log.find(change.id());
    boolean queued = turn.leadership.queue().stream().anyMatch(s -> s.id().equals(change.id()));
    if (known.isPresent() && known.get().index() <= turn.log.commit()) {
      answer(turn, change.id(), new Committed(known.get().index()));
    } else if (known.isEmpty() && !queued) {
      Reason reason = refusal(turn, change);
      if (reason != null) {
        answer(turn, change.id(), new Refused(reason));
      } else {
        turn.leadership = turn.leadership.queued(change);
        fromQueue(turn);
      }
    }
  }

  private static void answer(Turn turn, ChangeId id, SubmitOutcome outcome) {
    turn.actions.add(new Answer(id, outcome));
  }

  private static Reason refusal(Turn turn, Submit change) {
    LogLimits limits = turn.terms.limits();
    Long floor = turn.log.snapshot().floors().get(change.id().origin());
    if (floor != null && change.id().number() <= floor) {
      return Reason.TOO_OLD;
    }
    if (floor == null && isOneTooMany(turn, change.id().origin())) {
      return Reason.TOO_MANY_ORIGINS;
    }
    List<Submit> queue = turn.leadership.queue();
    boolean direct = queue.isEmpty() && hasRoom(turn, change);
    long bytes = queue.stream().mapToLong(Submissions::weight).sum() + weight(change);
    boolean full = queue.size() >= limits.queuedChanges() || bytes > limits.queuedBytes();
    return full && !direct ? Reason.QUEUE_FULL : null;
  }

  /** Counts submitters only while there may be too many of them. */
  private static boolean isOneTooMany(Turn turn, String origin) {
    LogState log = turn.log;
    int most = turn.terms.limits().origins();
    long ids = (long) log.snapshot().floors().size() + log.snapshot().entries().size()
        + log.entries().size() + turn.leadership.queue().size();
    if (ids < most) {
      return false;
    }
    Set<String> origins = new HashSet<>(log.snapshot().floors().keySet());
    log.snapshot().entries().forEach(e -> origins.add(e.id().origin()));
    log.entries().forEach(e -> origins.add(e.id().origin()));
    turn.leadership.queue().forEach(s -> origins.add(s.id().origin()));
    return !origins.contains(origin) && origins.size() >= most;
  }

  /** Appends changes that wait, as far as there is room. */
  static void fromQueue(Turn turn) {
    List<Submit> queue = turn.leadership.queue();
    int taken = 0;
    while (taken < queue.size() && hasRoom(turn, queue.get(taken))) {
      Submit change = queue.get(taken);
      turn.log = turn.log.appended(List.of(new ChangeEntry(turn.log.last() + 1, turn.leadership.epoch(),
          change.id(), change.change())));
      taken++;
    }
    if (taken > 0) {
      turn.leadership = turn.leadership.withQueue(queue.subList(taken, queue.size()));
    }
  }

  private static boolean hasRoom(Turn turn, Submit change) {
    List<ChangeEntry> tail = turn.log.tail();
    long bytes = tail.stream().mapToLong(ChangeEntry::weight).sum() + weight(change);
    LogLimits limits = turn.terms.limits();
    return tail.isEmpty() || tail.size() < limits.entriesInFlight() && bytes <= limits.bytesInFlight();
  }

  private static int weight(Submit change) {
    return change.change().weight() + FIXED_WEIGHT;
  }
}

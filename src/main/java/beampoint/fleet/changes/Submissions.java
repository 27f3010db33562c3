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

/** Accepts submitted changes at the leader: each change once, and within the limits of the log. */
final class Submissions {

  /** The maximum size of a change in bytes apart from its content. */
  private static final int FIXED_BYTES = 64 + ChangeId.MAX_SUBMITTER_BYTES;

  private Submissions() {}

  static void submit(StepContext step, Submit change) {
    if (!Leader.isLeading(step)) {
      answer(step, change.id(), new NotLeader(step.leader));
      return;
    }
    Optional<ChangeEntry> known = step.log.find(change.id());
    boolean queued = step.leadership.queue().stream().anyMatch(s -> s.id().equals(change.id()));
    if (known.isPresent() && known.get().index() <= step.log.commit()) {
      answer(step, change.id(), new Committed(known.get().index()));
    } else if (known.isEmpty() && !queued) {
      Reason reason = refusalReason(step, change);
      if (reason != null) {
        answer(step, change.id(), new Refused(reason));
      } else {
        step.leadership = step.leadership.withQueued(change);
        appendQueued(step);
      }
    }
  }

  private static void answer(StepContext step, ChangeId id, SubmitOutcome outcome) {
    step.actions.add(new Answer(id, outcome));
  }

  private static Reason refusalReason(StepContext step, Submit change) {
    LogLimits limits = step.settings.limits();
    Long droppedNumber = step.log.snapshot().droppedNumbers().get(change.id().submitter());
    if (droppedNumber != null && change.id().number() <= droppedNumber) {
      return Reason.TOO_OLD;
    }
    if (droppedNumber == null && exceedsSubmitterLimit(step, change.id().submitter())) {
      return Reason.TOO_MANY_SUBMITTERS;
    }
    List<Submit> queue = step.leadership.queue();
    boolean fitsDirectly = queue.isEmpty() && hasRoom(step, change);
    long bytes = queue.stream().mapToLong(Submissions::approximateBytes).sum() + approximateBytes(change);
    boolean full = queue.size() >= limits.queuedChanges() || bytes > limits.queuedBytes();
    return full && !fitsDirectly ? Reason.QUEUE_FULL : null;
  }

  /** Whether a new submitter would exceed the limit; counts submitters only if that is possible. */
  private static boolean exceedsSubmitterLimit(StepContext step, String submitter) {
    LogState log = step.log;
    int max = step.settings.limits().submitters();
    long ids = (long) log.snapshot().droppedNumbers().size() + log.snapshot().entries().size()
        + log.entries().size() + step.leadership.queue().size();
    if (ids < max) {
      return false;
    }
    Set<String> submitters = new HashSet<>(log.snapshot().droppedNumbers().keySet());
    log.snapshot().entries().forEach(e -> submitters.add(e.id().submitter()));
    log.entries().forEach(e -> submitters.add(e.id().submitter()));
    step.leadership.queue().forEach(s -> submitters.add(s.id().submitter()));
    return !submitters.contains(submitter) && submitters.size() >= max;
  }

  /** Appends queued changes while they are within the limits of entries in flight. */
  static void appendQueued(StepContext step) {
    List<Submit> queue = step.leadership.queue();
    int appended = 0;
    while (appended < queue.size() && hasRoom(step, queue.get(appended))) {
      Submit change = queue.get(appended);
      step.log = step.log.appended(List.of(new ChangeEntry(step.log.last() + 1, step.leadership.epoch(),
          change.id(), change.change())));
      appended++;
    }
    if (appended > 0) {
      step.leadership = step.leadership.withQueue(queue.subList(appended, queue.size()));
    }
  }

  private static boolean hasRoom(StepContext step, Submit change) {
    List<ChangeEntry> tail = step.log.tail();
    long bytes = tail.stream().mapToLong(ChangeEntry::approximateBytes).sum() + approximateBytes(change);
    LogLimits limits = step.settings.limits();
    return tail.isEmpty() || tail.size() < limits.entriesInFlight() && bytes <= limits.bytesInFlight();
  }

  private static int approximateBytes(Submit change) {
    return change.change().contentBytes() + FIXED_BYTES;
  }
}

package beampoint.fleet.changes;

import beampoint.fleet.changes.Leadership.Phase;
import beampoint.fleet.changes.Leadership.Progress;
import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogAction.RelinquishLease;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.SubmitOutcome.Committed;
import beampoint.fleet.changes.SubmitOutcome.NotLeader;
import beampoint.fleet.facts.Epoch;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Replicates entries from the leader to the followers and commits them. */
final class Leader {

  /** The number of retry intervals without an answer after which a follower counts as unresponsive. */
  private static final int MAX_MISSED_RESPONSES = 2;

  private Leader() {}

  static boolean isLeading(StepContext step) {
    return step.leadership != null && step.leadership.phase() == Phase.LEADING;
  }

  /**
   * Ends the leadership, if there is one. Submitters that wait for an answer are informed, so that they
   * submit to the next leader.
   */
  static void stepDown(StepContext step, Problem problem) {
    if (step.leadership == null) {
      return;
    }
    if (isLeading(step)) {
      Stream<ChangeId> unanswered = Stream.concat(step.log.tail().stream().map(ChangeEntry::id),
          step.leadership.queue().stream().map(Submit::id));
      unanswered.forEach(id -> step.actions.add(new Answer(id, new NotLeader(Epoch.NONE))));
    }
    step.leadership = null;
    if (problem != null) {
      step.actions.add(new RelinquishLease(problem));
    }
  }

  /** Resets the progress of a follower whose process has restarted, because its log may have been lost. */
  static void resetIfRestarted(StepContext step, String follower, long life) {
    if (isLeading(step) && step.leadership.followers().get(follower).life() != life) {
      step.leadership = step.leadership.withFollower(follower, Progress.initial(life, step.now));
    }
  }

  static void receiveAccepted(StepContext step, String from, Accepted message) {
    if (!isLeading(step) || !message.epoch().equals(step.leadership.epoch())) {
      return;
    }
    resetIfRestarted(step, from, message.life());
    Progress progress = step.leadership.followers().get(from);
    if (!message.inSync()) {
      step.leadership = step.leadership.withFollower(from, progress.withResponse(step.now));
      return;
    }
    step.leadership = step.leadership.withFollower(from,
        progress.withAcknowledged(message.voter(), message.last(), step.now));
    commit(step);
    Submissions.appendQueued(step);
    if (canSendMore(step, step.leadership.followers().get(from))) {
      send(step, from);
    }
  }

  /** Whether a follower lacks entries and fewer than the maximum are in flight to it. */
  private static boolean canSendMore(StepContext step, Progress progress) {
    return progress.inSync() && progress.sent() < step.log.last()
        && progress.sent() - progress.acknowledged() < step.settings.limits().entriesInFlight();
  }

  /** Whether a follower has not answered for so long that it is sent only heartbeats. */
  private static boolean isUnresponsive(StepContext step, Progress progress) {
    return step.now >= progress.lastResponseAt() + MAX_MISSED_RESPONSES * step.settings.retryInterval();
  }

  /** Commits the entries that a majority of voters, including the leader, holds under this epoch. */
  private static void commit(StepContext step) {
    List<Long> acknowledgedIndexes = Stream.concat(Stream.of(step.log.last()),
        step.leadership.followers().values().stream().filter(p -> p.inSync() && p.voter())
            .map(Progress::acknowledged))
        .sorted(Comparator.reverseOrder()).toList();
    if (acknowledgedIndexes.size() < step.settings.majority()) {
      return;
    }
    long index = Math.min(acknowledgedIndexes.get(step.settings.majority() - 1), step.log.last());
    if (index > step.log.commit()) {
      List<ChangeEntry> committed = step.log.between(step.log.commit() + 1, index);
      step.advance(step.log.committedTo(index));
      committed.forEach(e -> step.actions.add(new Answer(e.id(), new Committed(e.index()))));
    }
  }

  /** Sends missing entries, new commit indexes and heartbeats, and resends unacknowledged entries. */
  static void tick(StepContext step) {
    double retryInterval = step.settings.retryInterval();
    for (Map.Entry<String, Progress> follower : step.leadership.followers().entrySet()) {
      Progress progress = follower.getValue();
      if (progress.sent() > progress.acknowledged()
          && step.now >= progress.lastProgressAt() + retryInterval) {
        progress = progress.withInFlightLost(step.now);
        step.leadership = step.leadership.withFollower(follower.getKey(), progress);
      }
      boolean hasNewCommit = progress.inSync() && progress.lastSentCommit() < step.log.commit();
      boolean needsAppend = !isUnresponsive(step, progress) && (hasNewCommit || canSendMore(step, progress));
      if (needsAppend || step.now >= progress.lastSentAt() + retryInterval) {
        send(step, follower.getKey());
      }
    }
  }

  static void sendToAll(StepContext step) {
    step.leadership.followers().keySet().forEach(follower -> send(step, follower));
  }

  /** Sends a follower in sync the entries that it lacks, and any other follower all uncommitted entries. */
  static void send(StepContext step, String follower) {
    LogState log = step.log;
    Leadership leadership = step.leadership;
    Progress progress = leadership.followers().get(follower);
    List<ChangeEntry> entries = isUnresponsive(step, progress) ? List.of() : entriesToSend(step, progress);
    boolean founder = Long.valueOf(progress.life()).equals(leadership.founderLives().get(follower));
    step.send(follower, new Append(leadership.epoch(), log.foundingEpoch(), progress.life(), founder,
        leadership.start(), log.commit(), log.last(), entries));
    long sent = entries.isEmpty() ? progress.sent() : entries.get(entries.size() - 1).index();
    step.leadership = leadership.withFollower(follower, progress.withSent(sent, log.commit(), step.now));
  }

  private static List<ChangeEntry> entriesToSend(StepContext step, Progress progress) {
    LogState log = step.log;
    if (!progress.inSync()) {
      return log.tail();
    }
    // The follower fetches compacted entries up to the commit index.
    boolean compacted = progress.sent() < log.snapshot().index();
    long from = compacted ? log.commit() + 1 : progress.sent() + 1;
    return List.copyOf(Batches.first(log.between(from, log.last()), step.settings.limits()));
  }
}

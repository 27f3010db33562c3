package beampoint.fleet.changes;

import beampoint.fleet.changes.Leadership.Phase;
import beampoint.fleet.changes.Leadership.Progress;
import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogAction.GiveUp;
import beampoint.fleet.changes.LogAction.Problem;
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

/** How a leader replicates entries and commits them. */
final class Leader {

  /** A follower is quiet after so many times without an answer. */
  private static final int UNANSWERED = 2;

  private Leader() {}

  static boolean leads(Turn turn) {
    return turn.leadership != null && turn.leadership.phase() == Phase.LEADING;
  }

  /** No longer leads: whoever waits for an answer has to ask the next one. */
  static void stepDown(Turn turn, Problem problem) {
    if (turn.leadership == null) {
      return;
    }
    if (leads(turn)) {
      Stream<ChangeId> waiting = Stream.concat(turn.log.tail().stream().map(ChangeEntry::id),
          turn.leadership.queue().stream().map(Submit::id));
      waiting.forEach(id -> turn.actions.add(new Answer(id, new NotLeader(Epoch.NONE))));
    }
    turn.leadership = null;
    if (problem != null) {
      turn.actions.add(new GiveUp(problem));
    }
  }

  /** A follower lives another life than the one known: nothing of the one before is known of it. */
  static void heardOf(Turn turn, String follower, long life) {
    if (leads(turn) && turn.leadership.followers().get(follower).life() != life) {
      turn.leadership = turn.leadership.with(follower, Progress.ofLife(life, turn.now));
    }
  }

  static void accepted(Turn turn, String from, Accepted message) {
    if (!leads(turn) || !message.epoch().equals(turn.leadership.epoch())) {
      return;
    }
    heardOf(turn, from, message.life());
    Progress progress = turn.leadership.followers().get(from);
    if (!message.inStep()) {
      turn.leadership = turn.leadership.with(from, progress.heard(turn.now));
      return;
    }
    turn.leadership = turn.leadership.with(from,
        progress.acknowledging(message.voter(), message.last(), turn.now));
    commit(turn);
    Submissions.fromQueue(turn);
    if (mayBeSentMore(turn, turn.leadership.followers().get(from))) {
      send(turn, from);
    }
  }

  /** True where a follower lacks entries, and not too many are on their way to it. */
  private static boolean mayBeSentMore(Turn turn, Progress progress) {
    return progress.inStep() && progress.sent() < turn.log.last()
        && progress.sent() - progress.acknowledged() < turn.terms.limits().entriesInFlight();
  }

  /** True where a follower has not answered for so long that it is only asked for a sign of life. */
  private static boolean isQuiet(Turn turn, Progress progress) {
    return turn.now >= progress.heardAt() + UNANSWERED * turn.terms.retryAfter();
  }

  /** Commits what a majority of voters holds under this epoch, the leader among them. */
  private static void commit(Turn turn) {
    List<Long> held = Stream.concat(Stream.of(turn.log.last()),
        turn.leadership.followers().values().stream().filter(p -> p.inStep() && p.voter())
            .map(Progress::acknowledged))
        .sorted(Comparator.reverseOrder()).toList();
    if (held.size() < turn.terms.majority()) {
      return;
    }
    long index = Math.min(held.get(turn.terms.majority() - 1), turn.log.last());
    if (index > turn.log.commit()) {
      List<ChangeEntry> committed = turn.log.between(turn.log.commit() + 1, index);
      turn.advance(turn.log.committedTo(index));
      committed.forEach(e -> turn.actions.add(new Answer(e.id(), new Committed(e.index()))));
    }
  }

  /** Sends what lacks, tells commit indexes, repeats what was not answered. */
  static void tick(Turn turn) {
    double retryAfter = turn.terms.retryAfter();
    for (Map.Entry<String, Progress> follower : turn.leadership.followers().entrySet()) {
      Progress progress = follower.getValue();
      if (progress.sent() > progress.acknowledged() && turn.now >= progress.movedAt() + retryAfter) {
        progress = progress.lost(turn.now);
        turn.leadership = turn.leadership.with(follower.getKey(), progress);
      }
      boolean tellsCommit = progress.inStep() && progress.toldCommit() < turn.log.commit();
      boolean lacks = !isQuiet(turn, progress) && (tellsCommit || mayBeSentMore(turn, progress));
      if (lacks || turn.now >= progress.sentAt() + retryAfter) {
        send(turn, follower.getKey());
      }
    }
  }

  static void sendToAll(Turn turn) {
    turn.leadership.followers().keySet().forEach(follower -> send(turn, follower));
  }

  /** To a follower in step what it lacks, to another one all that is not committed. */
  static void send(Turn turn, String follower) {
    LogState log = turn.log;
    Leadership leadership = turn.leadership;
    Progress progress = leadership.followers().get(follower);
    List<ChangeEntry> entries = isQuiet(turn, progress) ? List.of() : toSend(turn, progress);
    boolean founder = Long.valueOf(progress.life()).equals(leadership.founderLives().get(follower));
    turn.send(follower, new Append(leadership.epoch(), log.identity(), progress.life(), founder,
        leadership.start(), log.commit(), log.last(), entries));
    long sent = entries.isEmpty() ? progress.sent() : entries.get(entries.size() - 1).index();
    turn.leadership = leadership.with(follower, progress.sending(sent, log.commit(), turn.now));
  }

  private static List<ChangeEntry> toSend(Turn turn, Progress progress) {
    LogState log = turn.log;
    if (!progress.inStep()) {
      return log.tail();
    }
    boolean compacted = progress.sent() < log.snapshot().index(); // it will fetch, up to the commit index
    long from = compacted ? log.commit() + 1 : progress.sent() + 1;
    return List.copyOf(Batches.first(log.between(from, log.last()), turn.terms.limits()));
  }
}

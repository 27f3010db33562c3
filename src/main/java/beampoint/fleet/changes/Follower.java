package beampoint.fleet.changes;

import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.EpochRejected;
import beampoint.fleet.changes.LogMessage.LogReply;
import beampoint.fleet.changes.LogMessage.LogRequest;
import beampoint.fleet.facts.Epoch;
import java.util.List;

/** Handles the messages of a leader at a follower. */
final class Follower {

  private Follower() {}

  /** Promises an epoch: from then on, messages of lower epochs are rejected. */
  static void promise(StepContext step, Epoch epoch) {
    if (step.leadership != null && epoch.compareTo(step.leadership.epoch()) > 0) {
      Leader.stepDown(step, LogAction.Problem.FENCED);
    }
    step.log = step.log.withFence(epoch);
  }

  /** Whether a message was sent by the holder of its epoch and no higher epoch was promised. */
  private static boolean isFromLeader(StepContext step, String from, Epoch epoch) {
    if (!epoch.holder().equals(from)) {
      return false;
    }
    if (epoch.compareTo(step.log.fence()) < 0) {
      step.send(from, new EpochRejected(step.log.fence()));
      return false;
    }
    promise(step, epoch);
    return true;
  }

  /** Sends a new leader the log of this replica from its commit index on. */
  static void sendLog(StepContext step, String from, LogRequest message) {
    if (isFromLeader(step, from, message.epoch())) {
      step.send(from, logReply(step.log, message.epoch()));
    }
  }

  static LogReply logReply(LogState log, Epoch epoch) {
    return new LogReply(epoch, log.foundingEpoch(), log.life(), log.voter(), log.accepted(), log.commit(),
        log.tail());
  }

  static void append(StepContext step, String from, Append message) {
    if (message.foundingEpoch().compareTo(step.log.foundingEpoch()) < 0
        || !isFromLeader(step, from, message.epoch())) {
      return;
    }
    if (message.foundingEpoch().compareTo(step.log.foundingEpoch()) > 0) {
      joinLog(step, message.foundingEpoch());
    }
    step.leader = message.epoch();
    if (message.epoch().equals(step.log.accepted())
        && message.entries().stream().anyMatch(step.log::conflictsWith)) {
      // A leader of a higher epoch has replaced the sender: the conflicting entries of this replica are
      // committed.
      return;
    }
    step.advance(step.log.withCommitted(committed(message)));
    acceptEntries(step, message);
    Rejoining.becomeVoterIfComplete(step, message);
    CatchUp.start(step, from, message.commit());
    LogState log = step.log;
    boolean inSync = log.accepted().equals(message.epoch());
    step.send(from, new Accepted(message.epoch(), log.life(), inSync, log.voter(), inSync ? log.last() : 0,
        log.commit()));
  }

  /** Becomes a member of another log; nothing of the previous log is valid in it. */
  private static void joinLog(StepContext step, Epoch foundingEpoch) {
    step.log = step.log.asMemberOf(foundingEpoch);
    step.actions.add(new Install(foundingEpoch, Snapshot.EMPTY));
    step.catchUp = null;
    if (step.rejoining == null) {
      step.rejoining = Rejoining.INITIAL;
    }
  }

  private static List<ChangeEntry> committed(Append message) {
    return message.entries().stream().filter(e -> e.index() <= message.commit()).toList();
  }

  /**
   * Accepts the leader's entries. The first ones under its epoch are accepted only if they reach at least the
   * last index of the leader's log when it began to lead ({@link Append#start}): an incomplete log must never
   * count as equal to the leader's.
   */
  private static void acceptEntries(StepContext step, Append message) {
    LogState log = step.log;
    List<ChangeEntry> entries = message.entries();
    if (log.accepted().equals(message.epoch())) {
      log = log.appended(entries);
    } else {
      long first = entries.isEmpty() ? log.commit() + 1 : entries.get(0).index();
      long last = entries.isEmpty() ? log.commit() : entries.get(entries.size() - 1).index();
      boolean complete = first <= log.commit() + 1 && Math.max(last, log.commit()) >= message.start();
      log = complete ? log.withTail(entries).withAccepted(message.epoch()) : log;
    }
    boolean inSync = log.accepted().equals(message.epoch());
    step.advance(inSync ? log.committedTo(message.commit()) : log);
  }
}

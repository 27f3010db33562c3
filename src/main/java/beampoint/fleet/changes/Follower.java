package beampoint.fleet.changes;

import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.Recover;
import beampoint.fleet.changes.LogMessage.Recovered;
import beampoint.fleet.changes.LogMessage.Refused;
import beampoint.fleet.facts.Epoch;
import java.util.List;

/** How a replica follows a leader. */
final class Follower {

  private Follower() {}

  /** Promises an epoch: from then on nothing is accepted from lower ones. */
  static void promise(Turn turn, Epoch epoch) {
    if (turn.leadership != null && epoch.compareTo(turn.leadership.epoch()) > 0) {
      Leader.stepDown(turn, LogAction.Problem.FENCED);
    }
    turn.log = turn.log.fencedBy(epoch);
  }

  /** True where a message of this epoch comes from its holder and nothing higher was promised. */
  private static boolean isFromLeader(Turn turn, String from, Epoch epoch) {
    if (!epoch.holder().equals(from)) {
      return false;
    }
    if (epoch.compareTo(turn.log.fence()) < 0) {
      turn.send(from, new Refused(turn.log.fence()));
      return false;
    }
    promise(turn, epoch);
    return true;
  }

  /** Tells a new leader what this replica holds. */
  static void recover(Turn turn, String from, Recover message) {
    if (isFromLeader(turn, from, message.epoch())) {
      turn.send(from, held(turn.log, message.epoch()));
    }
  }

  static Recovered held(LogState log, Epoch epoch) {
    return new Recovered(epoch, log.identity(), log.life(), log.voter(), log.accepted(), log.commit(),
        log.tail());
  }

  static void append(Turn turn, String from, Append message) {
    if (message.identity().compareTo(turn.log.identity()) < 0
        || !isFromLeader(turn, from, message.epoch())) {
      return;
    }
    if (message.identity().compareTo(turn.log.identity()) > 0) {
      join(turn, message.identity());
    }
    turn.leader = message.epoch();
    if (message.epoch().equals(turn.log.accepted())
        && message.entries().stream().anyMatch(turn.log::conflictsWith)) {
      return; // of a leader that others have fenced: the entries in their place are committed
    }
    turn.advance(turn.log.learned(committed(message)));
    take(turn, message);
    Rejoining.admit(turn, message);
    CatchUp.wanted(turn, from, message.commit());
    LogState log = turn.log;
    boolean inStep = log.accepted().equals(message.epoch());
    turn.send(from, new Accepted(message.epoch(), log.life(), inStep, log.voter(), inStep ? log.last() : 0,
        log.commit()));
  }

  /** Becomes a member of another log: nothing of the one before counts in it. */
  private static void join(Turn turn, Epoch identity) {
    turn.log = turn.log.ofLog(identity);
    turn.actions.add(new Install(identity, Snapshot.EMPTY));
    turn.catchUp = null;
    if (turn.rejoining == null) {
      turn.rejoining = Rejoining.NOTHING_ASKED;
    }
  }

  private static List<ChangeEntry> committed(Append message) {
    return message.entries().stream().filter(e -> e.index() <= message.commit()).toList();
  }

  /**
   * Takes the leader's entries. The first time under its epoch this is done in one piece, up to where the
   * leader began at least: a part of its log must never pass for the whole.
   */
  private static void take(Turn turn, Append message) {
    LogState log = turn.log;
    List<ChangeEntry> entries = message.entries();
    if (log.accepted().equals(message.epoch())) {
      log = log.appended(entries);
    } else {
      long first = entries.isEmpty() ? log.commit() + 1 : entries.get(0).index();
      long last = entries.isEmpty() ? log.commit() : entries.get(entries.size() - 1).index();
      boolean whole = first <= log.commit() + 1 && Math.max(last, log.commit()) >= message.start();
      log = whole ? log.withTail(entries).accepting(message.epoch()) : log;
    }
    boolean inStep = log.accepted().equals(message.epoch());
    turn.advance(inStep ? log.committedTo(message.commit()) : log);
  }
}

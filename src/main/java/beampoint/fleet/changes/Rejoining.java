package beampoint.fleet.changes;

import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.Rejoin;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A replica that has lost its memory on its way to a vote. It votes again once a majority of voters has told
 * it what was promised since, and a leader of that epoch or a higher one, which has heard of its new life,
 * has made its log equal to the leader's own: then it holds whatever it may have acknowledged before.
 *
 * @param answers of this life
 */
record Rejoining(SortedMap<String, RejoinAnswer> answers, double askedAt) {

  static final Rejoining NOTHING_ASKED = new Rejoining(Collections.emptySortedMap(),
      Double.NEGATIVE_INFINITY);

  /** Asks the others, again after a time. */
  static void ask(Turn turn) {
    Rejoining now = turn.rejoining;
    if (now != null && turn.now >= now.askedAt + turn.terms.retryAfter()) {
      turn.rejoining = new Rejoining(now.answers, turn.now);
      turn.sendToOthers(new Rejoin(turn.log.life()));
    }
  }

  static void answer(Turn turn, String from, Rejoin message) {
    LogState log = turn.log;
    Leader.heardOf(turn, from, message.life());
    turn.send(from, new RejoinAnswer(message.life(), log.identity(), log.voter(), log.fence()));
  }

  static void answered(Turn turn, String from, RejoinAnswer message) {
    if (turn.rejoining != null && message.life() == turn.log.life()) {
      SortedMap<String, RejoinAnswer> all = new TreeMap<>(turn.rejoining.answers);
      all.put(from, message);
      turn.rejoining = new Rejoining(all, turn.rejoining.askedAt);
    }
  }

  /** Lets it vote, where it may from now on. */
  static void admit(Turn turn, Append append) {
    LogState log = turn.log;
    boolean holdsAll = log.accepted().equals(append.epoch()) && log.last() >= append.last()
        && append.life() == log.life();
    boolean founder = append.founder() && append.epoch().equals(append.identity());
    if (turn.rejoining != null && holdsAll && (founder || turn.rejoining.isCurrent(turn, append))) {
      turn.log = log.voting();
      turn.rejoining = null;
    }
  }

  /** True where a majority has told it of no promise above the epoch of this leader. */
  private boolean isCurrent(Turn turn, Append append) {
    List<RejoinAnswer> voters = answers.values().stream()
        .filter(a -> a.voter() && a.identity().equals(append.identity())).toList();
    return voters.size() >= turn.terms.majority()
        && voters.stream().allMatch(a -> a.fence().compareTo(append.epoch()) <= 0);
  }
}

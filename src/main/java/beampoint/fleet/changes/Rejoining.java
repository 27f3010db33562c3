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
record Rejoining(SortedMap<String, RejoinAnswer> answers, double requestedAt) {

  static final Rejoining INITIAL = new Rejoining(Collections.emptySortedMap(),
      Double.NEGATIVE_INFINITY);

  /** Asks the others, again after a time. */
  static void sendRequests(StepContext step) {
    Rejoining current = step.rejoining;
    if (current != null && step.now >= current.requestedAt + step.settings.retryInterval()) {
      step.rejoining = new Rejoining(current.answers, step.now);
      step.sendToOthers(new Rejoin(step.log.life()));
    }
  }

  static void reply(StepContext step, String from, Rejoin message) {
    LogState log = step.log;
    Leader.resetIfRestarted(step, from, message.life());
    step.send(from, new RejoinAnswer(message.life(), log.identity(), log.voter(), log.fence()));
  }

  static void receiveAnswer(StepContext step, String from, RejoinAnswer message) {
    if (step.rejoining != null && message.life() == step.log.life()) {
      SortedMap<String, RejoinAnswer> all = new TreeMap<>(step.rejoining.answers);
      all.put(from, message);
      step.rejoining = new Rejoining(all, step.rejoining.requestedAt);
    }
  }

  /** Lets it vote, where it may from now on. */
  static void becomeVoterIfComplete(StepContext step, Append append) {
    LogState log = step.log;
    boolean holdsAll = log.accepted().equals(append.epoch()) && log.last() >= append.last()
        && append.life() == log.life();
    boolean founder = append.founder() && append.epoch().equals(append.identity());
    if (step.rejoining != null && holdsAll && (founder || step.rejoining.isUpToDate(step, append))) {
      step.log = log.asVoter();
      step.rejoining = null;
    }
  }

  /** True where a majority has told it of no promise above the epoch of this leader. */
  private boolean isUpToDate(StepContext step, Append append) {
    List<RejoinAnswer> voters = answers.values().stream()
        .filter(a -> a.voter() && a.identity().equals(append.identity())).toList();
    return voters.size() >= step.settings.majority()
        && voters.stream().allMatch(a -> a.fence().compareTo(append.epoch()) <= 0);
  }
}

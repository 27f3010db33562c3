package beampoint.fleet.changes;

import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.Rejoin;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The state of a replica that lost its log until it may vote again. It regains its vote once a majority of
 * voters has reported which epochs they have promised, and a leader of at least the highest of these epochs,
 * which knows of the replica's new life, has made the replica's log equal to its own: the replica then holds
 * every entry that it may have acknowledged in an earlier life.
 *
 * @param answers the answers received in this life, by voter
 * @param requestedAt when the others were last asked
 */
record Rejoining(SortedMap<String, RejoinAnswer> answers, double requestedAt) {

  static final Rejoining INITIAL = new Rejoining(Collections.emptySortedMap(),
      Double.NEGATIVE_INFINITY);

  /** Asks the others for their promises, and repeats this after each retry interval. */
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
    step.send(from, new RejoinAnswer(message.life(), log.foundingEpoch(), log.voter(), log.fence()));
  }

  static void receiveAnswer(StepContext step, String from, RejoinAnswer message) {
    if (step.rejoining != null && message.life() == step.log.life()) {
      SortedMap<String, RejoinAnswer> all = new TreeMap<>(step.rejoining.answers);
      all.put(from, message);
      step.rejoining = new Rejoining(all, step.rejoining.requestedAt);
    }
  }

  /** Makes the replica a voter if it holds the complete log of a current leader. */
  static void becomeVoterIfComplete(StepContext step, Append append) {
    LogState log = step.log;
    boolean holdsAll = log.accepted().equals(append.epoch()) && log.last() >= append.last()
        && append.life() == log.life();
    boolean founder = append.founder() && append.epoch().equals(append.foundingEpoch());
    if (step.rejoining != null && holdsAll && (founder || step.rejoining.isUpToDate(step, append))) {
      step.log = log.asVoter();
      step.rejoining = null;
    }
  }

  /** Whether a majority has answered and none of its promises is above the epoch of this leader. */
  private boolean isUpToDate(StepContext step, Append append) {
    List<RejoinAnswer> voters = answers.values().stream()
        .filter(a -> a.voter() && a.foundingEpoch().equals(append.foundingEpoch())).toList();
    return voters.size() >= step.settings.majority()
        && voters.stream().allMatch(a -> a.fence().compareTo(append.epoch()) <= 0);
  }
}

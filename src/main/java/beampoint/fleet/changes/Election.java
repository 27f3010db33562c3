package beampoint.fleet.changes;

import beampoint.fleet.changes.Leadership.Phase;
import beampoint.fleet.changes.Leadership.Progress;
import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogMessage.Recover;
import beampoint.fleet.changes.LogMessage.Recovered;
import beampoint.fleet.facts.Epoch;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the holder of a new lease does before it leads: it asks for logs until a majority of voters has
 * answered, goes on with the best of them, and fetches what it lacks of it.
 */
final class Election {

  private Election() {}

  static void won(Turn turn, Epoch epoch) {
    if (epoch.compareTo(turn.log.fence()) < 0) {
      turn.actions.add(new LogAction.GiveUp(Problem.FENCED));
      return;
    }
    Leader.stepDown(turn, null);
    turn.log = turn.log.fencedBy(epoch);
    SortedMap<String, Progress> followers = new TreeMap<>();
    turn.terms.voters().forEach(voter -> followers.put(voter, Progress.ofLife(0, turn.now)));
    followers.remove(turn.self);
    turn.leadership = Leadership.asking(epoch, followers, turn.now);
    turn.sendToOthers(new Recover(epoch));
    recovered(turn, turn.self, Follower.held(turn.log, epoch));
  }

  static void recovered(Turn turn, String from, Recovered answer) {
    Leadership leadership = turn.leadership;
    if (leadership == null || leadership.phase() != Phase.ASKING
        || !answer.epoch().equals(leadership.epoch())) {
      return;
    }
    turn.leadership = leadership.answered(from, answer);
    if (!from.equals(turn.self)) {
      turn.leadership = turn.leadership.with(from, Progress.ofLife(answer.life(), turn.now));
    }
    decide(turn);
  }

  private static void decide(Turn turn) {
    Epoch identity = turn.log.identity();
    Collection<Recovered> answers = turn.leadership.answers().values();
    List<Recovered> votes = answers.stream().filter(a -> a.voter() && a.identity().equals(identity)).toList();
    boolean nobodyRemembers = answers.size() == turn.terms.voters().size()
        && answers.stream().noneMatch(Recovered::voter);
    boolean allowed = turn.mayFound && answers.size() >= turn.terms.majority();
    if (nobodyRemembers) {
      found(turn);
    } else if (answers.stream().anyMatch(a -> a.identity().compareTo(identity) > 0
        && (a.voter() || turn.log.voter()))) {
      Leader.stepDown(turn, Problem.OTHER_LOG);
    } else if (turn.log.voter() && votes.size() >= turn.terms.majority()) {
      goOnWith(turn, best(votes));
    } else if (allowed) {
      found(turn);
    } else if (answers.stream().anyMatch(Recovered::voter)
        && isMajorityLost(turn, answers.size() - votes.size())) {
      Leader.stepDown(turn, Problem.MAJORITY_LOST);
    }
  }

  /** True where too few can be left that remember; a log that nobody has founded yet is none that is lost. */
  private static boolean isMajorityLost(Turn turn, int without) {
    return !turn.mayFound && !turn.log.identity().equals(Epoch.NONE)
        && turn.terms.voters().size() - without < turn.terms.majority();
  }

  /** The log of the highest epoch, and of these the longest: it has every entry that may be committed. */
  private static Recovered best(List<Recovered> votes) {
    return votes.stream().max(Comparator.comparing(Recovered::accepted)
        .thenComparing(Recovered::last)).orElseThrow();
  }

  private static void goOnWith(Turn turn, Recovered best) {
    String source = turn.leadership.answers().entrySet().stream()
        .filter(e -> e.getValue().equals(best)).map(Map.Entry::getKey).findFirst().orElseThrow();
    turn.leadership = turn.leadership.fetching(best);
    CatchUp.wanted(turn, source, best.commit());
    beginIfComplete(turn);
  }

  /** Leads as soon as all of the chosen log is here. */
  static void beginIfComplete(Turn turn) {
    if (turn.leadership == null || turn.leadership.phase() != Phase.FETCHING
        || turn.log.commit() < turn.leadership.chosen().commit()) {
      return;
    }
    Recovered best = turn.leadership.chosen();
    if (best.last() < turn.log.commit()) {
      Leader.stepDown(turn, Problem.CONTRADICTION);
      return;
    }
    Epoch epoch = turn.leadership.epoch();
    turn.log = turn.log.withTail(best.tail()).accepting(epoch);
    lead(turn, Collections.emptySortedMap());
  }

  /**
   * Begins a log, with all who have answered. Where none of all remembers, or an operator has said so: else a
   * log that a minority still remembers would be passed over.
   */
  private static void found(Turn turn) {
    SortedMap<String, Long> lives = new TreeMap<>();
    turn.leadership.answers().forEach((voter, answer) -> lives.put(voter, answer.life()));
    turn.log = turn.log.founding(turn.leadership.epoch());
    turn.rejoining = null;
    lead(turn, lives);
  }

  private static void lead(Turn turn, SortedMap<String, Long> founderLives) {
    turn.mayFound = false;
    turn.leader = turn.leadership.epoch();
    turn.leadership = turn.leadership.leading(turn.log.last(), founderLives);
    Leader.sendToAll(turn);
  }

  /** Asks again those who have not answered. */
  static void tick(Turn turn) {
    Leadership leadership = turn.leadership;
    if (leadership.phase() == Phase.ASKING && turn.now >= leadership.askedAt() + turn.terms.retryAfter()) {
      turn.leadership = leadership.askedAgain(turn.now);
      leadership.followers().keySet().stream().filter(v -> !leadership.answers().containsKey(v))
          .forEach(voter -> turn.send(voter, new Recover(leadership.epoch())));
    }
  }
}

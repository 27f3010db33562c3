package beampoint.fleet.changes;

import beampoint.fleet.changes.Leadership.Phase;
import beampoint.fleet.changes.Leadership.Progress;
import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogMessage.LogReply;
import beampoint.fleet.changes.LogMessage.LogRequest;
import beampoint.fleet.facts.Epoch;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The steps of an elected replica before it leads: it requests the logs of the others until a majority of
 * voters has answered, chooses the most recent of these logs, and fetches the entries that it lacks.
 */
final class Election {

  private Election() {}

  /** Begins a leadership by requesting the logs of all other voters. */
  static void start(StepContext step, Epoch epoch) {
    if (epoch.compareTo(step.log.fence()) < 0) {
      step.actions.add(new LogAction.RelinquishLease(Problem.FENCED));
      return;
    }
    Leader.stepDown(step, null);
    step.log = step.log.withFence(epoch);
    SortedMap<String, Progress> followers = new TreeMap<>();
    step.settings.voters().forEach(voter -> followers.put(voter, Progress.initial(0, step.now)));
    followers.remove(step.self);
    step.leadership = Leadership.collecting(epoch, followers, step.now);
    step.sendToOthers(new LogRequest(epoch));
    receiveLogReply(step, step.self, Follower.logReply(step.log, epoch));
  }

  static void receiveLogReply(StepContext step, String from, LogReply answer) {
    Leadership leadership = step.leadership;
    if (leadership == null || leadership.phase() != Phase.COLLECTING
        || !answer.epoch().equals(leadership.epoch())) {
      return;
    }
    step.leadership = leadership.withAnswer(from, answer);
    if (!from.equals(step.self)) {
      step.leadership = step.leadership.withFollower(from, Progress.initial(answer.life(), step.now));
    }
    decide(step);
  }

  /** Founds a log, steps down or adopts the best log, or waits for more answers. */
  private static void decide(StepContext step) {
    Epoch foundingEpoch = step.log.foundingEpoch();
    Collection<LogReply> answers = step.leadership.answers().values();
    List<LogReply> votes =
        answers.stream().filter(a -> a.voter() && a.foundingEpoch().equals(foundingEpoch)).toList();
    boolean noVoterLeft = answers.size() == step.settings.voters().size()
        && answers.stream().noneMatch(LogReply::voter);
    boolean foundingAllowed = step.newLogAllowed && answers.size() >= step.settings.majority();
    if (noVoterLeft) {
      foundLog(step);
    } else if (answers.stream().anyMatch(a -> a.foundingEpoch().compareTo(foundingEpoch) > 0
        && (a.voter() || step.log.voter()))) {
      Leader.stepDown(step, Problem.OTHER_LOG);
    } else if (step.log.voter() && votes.size() >= step.settings.majority()) {
      adopt(step, best(votes));
    } else if (foundingAllowed) {
      foundLog(step);
    } else if (answers.stream().anyMatch(LogReply::voter)
        && isMajorityLost(step, answers.size() - votes.size())) {
      Leader.stepDown(step, Problem.MAJORITY_LOST);
    }
  }

  /**
   * Whether fewer than a majority of the voters can still hold this log, given how many have answered that
   * they do not. A log that was never founded cannot be lost.
   */
  private static boolean isMajorityLost(StepContext step, int nonVotes) {
    return !step.newLogAllowed && !step.log.foundingEpoch().equals(Epoch.NONE)
        && step.settings.voters().size() - nonVotes < step.settings.majority();
  }

  /**
   * Chooses the log accepted under the highest epoch and, among several of these, the longest one: it
   * contains every entry that may be committed.
   */
  private static LogReply best(List<LogReply> votes) {
    return votes.stream().max(Comparator.comparing(LogReply::accepted)
        .thenComparing(LogReply::last)).orElseThrow();
  }

  private static void adopt(StepContext step, LogReply best) {
    String source = step.leadership.answers().entrySet().stream()
        .filter(e -> e.getValue().equals(best)).map(Map.Entry::getKey).findFirst().orElseThrow();
    step.leadership = step.leadership.fetchingFrom(best);
    CatchUp.start(step, source, best.commit());
    leadIfComplete(step);
  }

  /** Starts to lead once the chosen log is held completely. */
  static void leadIfComplete(StepContext step) {
    if (step.leadership == null || step.leadership.phase() != Phase.FETCHING
        || step.log.commit() < step.leadership.chosen().commit()) {
      return;
    }
    LogReply best = step.leadership.chosen();
    if (best.last() < step.log.commit()) {
      Leader.stepDown(step, Problem.CONTRADICTION);
      return;
    }
    Epoch epoch = step.leadership.epoch();
    step.log = step.log.withTail(best.tail()).withAccepted(epoch);
    startLeading(step, Collections.emptySortedMap());
  }

  /**
   * Founds a log together with all replicas that have answered. This is done only if none of all the voters
   * holds a log any longer, or if an operator has allowed it: otherwise a log that a minority still holds
   * would be discarded.
   */
  private static void foundLog(StepContext step) {
    SortedMap<String, Long> lives = new TreeMap<>();
    step.leadership.answers().forEach((voter, answer) -> lives.put(voter, answer.life()));
    step.log = step.log.asFounder(step.leadership.epoch());
    step.rejoining = null;
    startLeading(step, lives);
  }

  private static void startLeading(StepContext step, SortedMap<String, Long> founderLives) {
    step.newLogAllowed = false;
    step.leader = step.leadership.epoch();
    step.leadership = step.leadership.leading(step.log.last(), founderLives);
    Leader.sendToAll(step);
  }

  /** Repeats the request to the replicas that have not answered. */
  static void tick(StepContext step) {
    Leadership leadership = step.leadership;
    if (leadership.phase() == Phase.COLLECTING
        && step.now >= leadership.requestedAt() + step.settings.retryInterval()) {
      step.leadership = leadership.withRequestsRepeated(step.now);
      leadership.followers().keySet().stream().filter(v -> !leadership.answers().containsKey(v))
          .forEach(voter -> step.send(voter, new LogRequest(leadership.epoch())));
    }
  }
}

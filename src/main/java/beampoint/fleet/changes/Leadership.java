package beampoint.fleet.changes;

import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogMessage.LogReply;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The state of an elected replica apart from its log, while it collects logs and while it leads.
 *
 * @param epoch the epoch of its lease
 * @param phase the present phase
 * @param answers the answers to its requests for logs, by replica, including its own
 * @param chosen the answer whose log it adopts, or null
 * @param start the last index of its log when it began to lead
 * @param founderLives if it founded the log, the lives of the replicas that took part, by their names
 * @param followers the replication progress of the other voters, by their names
 * @param queue the changes that wait to be appended
 * @param requestedAt when it last requested logs
 */
record Leadership(Epoch epoch, Phase phase, SortedMap<String, LogReply> answers, LogReply chosen,
    long start, SortedMap<String, Long> founderLives, SortedMap<String, Progress> followers,
    List<Submit> queue, double requestedAt) {

  /** The phases of a leadership, in order. */
  enum Phase {
    /** Collects the logs of a majority. */
    COLLECTING,
    /** Has chosen a log, and fetches the committed entries that it lacks. */
    FETCHING,
    /** Accepts changes. */
    LEADING
  }

  /**
   * The replication progress of one follower.
   *
   * @param life the random number of the follower's process, or 0 if it is not known
   * @param inSync whether its log equals the leader's up to {@code acknowledged}
   * @param voter whether it counts towards a majority
   * @param sent the last index that was sent; the entries after {@code acknowledged} up to it are in flight
   * @param lastSentCommit the commit index last sent
   * @param lastResponseAt when it last answered
   * @param lastProgressAt when the acknowledged index last rose, or entries were first put in flight
   */
  record Progress(long life, boolean inSync, boolean voter, long acknowledged, long sent, long lastSentCommit,
      double lastSentAt, double lastResponseAt, double lastProgressAt) {

    static Progress initial(long life, double now) {
      return new Progress(life, false, false, 0, 0, -1, Double.NEGATIVE_INFINITY, now, now);
    }

    Progress withResponse(double now) {
      return new Progress(life, inSync, voter, acknowledged, sent, lastSentCommit, lastSentAt, now,
          lastProgressAt);
    }

    Progress withAcknowledged(boolean isVoter, long index, double now) {
      return new Progress(life, true, voter || isVoter, Math.max(acknowledged, index),
          Math.max(sent, index), lastSentCommit, lastSentAt, now,
          index > acknowledged ? now : lastProgressAt);
    }

    Progress withSent(long index, long commit, double now) {
      return new Progress(life, inSync, voter, acknowledged, index, commit, now, lastResponseAt,
          sent == acknowledged ? now : lastProgressAt);
    }

    /** Treats the entries in flight as lost. */
    Progress withInFlightLost(double now) {
      return new Progress(life, inSync, voter, acknowledged, acknowledged, lastSentCommit, lastSentAt,
          lastResponseAt, now);
    }
  }

  static Leadership collecting(Epoch epoch, SortedMap<String, Progress> followers, double now) {
    return new Leadership(epoch, Phase.COLLECTING, Collections.emptySortedMap(), null, 0,
        Collections.emptySortedMap(), followers, List.of(), now);
  }

  Leadership withAnswer(String from, LogReply answer) {
    SortedMap<String, LogReply> all = new TreeMap<>(answers);
    all.put(from, answer);
    return new Leadership(epoch, phase, all, chosen, start, founderLives, followers, queue, requestedAt);
  }

  Leadership withRequestsRepeated(double now) {
    return new Leadership(epoch, phase, answers, chosen, start, founderLives, followers, queue, now);
  }

  Leadership fetchingFrom(LogReply best) {
    return new Leadership(epoch, Phase.FETCHING, Collections.emptySortedMap(), best, start, founderLives,
        followers, queue, requestedAt);
  }

  Leadership leading(long last, SortedMap<String, Long> lives) {
    return new Leadership(epoch, Phase.LEADING, Collections.emptySortedMap(), null, last, lives, followers,
        queue, requestedAt);
  }

  Leadership withFollower(String follower, Progress progress) {
    SortedMap<String, Progress> all = new TreeMap<>(followers);
    all.put(follower, progress);
    return new Leadership(epoch, phase, answers, chosen, start, founderLives, all, queue, requestedAt);
  }

  Leadership withQueued(Submit change) {
    List<Submit> all = new ArrayList<>(queue);
    all.add(change);
    return withQueue(all);
  }

  Leadership withQueue(List<Submit> waiting) {
    return new Leadership(epoch, phase, answers, chosen, start, founderLives, followers,
        List.copyOf(waiting), requestedAt);
  }
}

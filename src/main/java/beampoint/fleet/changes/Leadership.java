package beampoint.fleet.changes;

import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogMessage.Recovered;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a leader knows beside its log.
 *
 * @param answers of the replicas that it has asked for their logs, its own among them
 * @param chosen the answer whose log it takes over, or null
 * @param start the last index with which it began
 * @param founderLives if it founded the log: the replicas that took part, with their lives
 * @param queue changes that wait for room
 * @param askedAt when it last asked for logs
 */
record Leadership(Epoch epoch, Phase phase, SortedMap<String, Recovered> answers, Recovered chosen,
    long start, SortedMap<String, Long> founderLives, SortedMap<String, Progress> followers,
    List<Submit> queue, double askedAt) {

  /** How far a leader is. */
  enum Phase {
    /** Asks a quorum for its logs. */
    ASKING,
    /** Knows which log to go on with, and fetches committed entries that it lacks. */
    FETCHING,
    /** Takes changes. */
    LEADING
  }

  /**
   * How far a follower is.
   *
   * @param inStep its log equals the leader's up to {@code acknowledged}
   * @param voter it counts towards a majority
   * @param sent the last index that is on its way
   * @param toldCommit the commit index last sent
   * @param heardAt when it last answered
   * @param movedAt since when what is on its way has not been acknowledged further
   */
  record Progress(long life, boolean inStep, boolean voter, long acknowledged, long sent, long toldCommit,
      double sentAt, double heardAt, double movedAt) {

    static Progress ofLife(long life, double now) {
      return new Progress(life, false, false, 0, 0, -1, Double.NEGATIVE_INFINITY, now, now);
    }

    Progress heard(double now) {
      return new Progress(life, inStep, voter, acknowledged, sent, toldCommit, sentAt, now, movedAt);
    }

    Progress acknowledging(boolean counts, long index, double now) {
      return new Progress(life, true, voter || counts, Math.max(acknowledged, index),
          Math.max(sent, index), toldCommit, sentAt, now, index > acknowledged ? now : movedAt);
    }

    Progress sending(long index, long commit, double now) {
      return new Progress(life, inStep, voter, acknowledged, index, commit, now, heardAt,
          sent == acknowledged ? now : movedAt);
    }

    /** What is on its way counts as lost. */
    Progress lost(double now) {
      return new Progress(life, inStep, voter, acknowledged, acknowledged, toldCommit, sentAt, heardAt, now);
    }
  }

  static Leadership asking(Epoch epoch, SortedMap<String, Progress> followers, double now) {
    return new Leadership(epoch, Phase.ASKING, Collections.emptySortedMap(), null, 0,
        Collections.emptySortedMap(), followers, List.of(), now);
  }

  Leadership answered(String from, Recovered answer) {
    SortedMap<String, Recovered> all = new TreeMap<>(answers);
    all.put(from, answer);
    return new Leadership(epoch, phase, all, chosen, start, founderLives, followers, queue, askedAt);
  }

  Leadership askedAgain(double now) {
    return new Leadership(epoch, phase, answers, chosen, start, founderLives, followers, queue, now);
  }

  Leadership fetching(Recovered best) {
    return new Leadership(epoch, Phase.FETCHING, Collections.emptySortedMap(), best, start, founderLives,
        followers, queue, askedAt);
  }

  Leadership leading(long last, SortedMap<String, Long> lives) {
    return new Leadership(epoch, Phase.LEADING, Collections.emptySortedMap(), null, last, lives, followers,
        queue, askedAt);
  }

  Leadership with(String follower, Progress progress) {
    SortedMap<String, Progress> all = new TreeMap<>(followers);
    all.put(follower, progress);
    return new Leadership(epoch, phase, answers, chosen, start, founderLives, all, queue, askedAt);
  }

  Leadership queued(Submit change) {
    List<Submit> all = new ArrayList<>(queue);
    all.add(change);
    return withQueue(all);
  }

  Leadership withQueue(List<Submit> waiting) {
    return new Leadership(epoch, phase, answers, chosen, start, founderLives, followers,
        List.copyOf(waiting), askedAt);
  }
}

package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What one voter knows. All times are ms of its own clock.
 *
 * @param fence the highest epoch that it has promised, or under which somebody was seen to act: it promises
 *     none below
 * @param known the highest number of an epoch that it has heard of: it asks for higher ones
 * @param promised to whom, or {@link Epoch#NONE}
 * @param promisedUntil when the promise has run out; before it, it promises nobody else
 * @param requested the epoch that it asks for, or holds, or {@link Epoch#NONE}
 * @param round how often it asked
 * @param askedAt when it asked last
 * @param promises who has answered that
 * @param mayActUntil 0 where it holds nothing
 */
public record LeaseState(Epoch fence, long known, Epoch promised, double promisedUntil, Epoch requested,
    long round, double askedAt, SortedSet<String> promises, double mayActUntil) {

  /**
   * A voter at its start. It can't know what it promised in an earlier life, and so promises nothing for one
   * length.
   *
   * @param stored the highest epoch that outlived the process, or {@link Epoch#NONE}
   */
  public static LeaseState started(LeaseSettings terms, double now, Epoch stored) {
    return new LeaseState(stored, stored.number(), Epoch.NONE, now + terms.length(), Epoch.NONE, 0, 0,
        new TreeSet<>(), 0);
  }

  /** True while it may act, under the epoch that it requested. */
  public boolean isHolder(double now) {
    return now < mayActUntil;
  }

  LeaseState knowing(long number) {
    return number <= known ? this : new LeaseState(fence, number, promised, promisedUntil, requested, round,
        askedAt, promises, mayActUntil);
  }

  LeaseState promising(Epoch epoch, double until) {
    return new LeaseState(fence.max(epoch), Math.max(known, epoch.number()), epoch, until, requested, round,
        askedAt, promises, mayActUntil);
  }

  LeaseState asking(Epoch epoch, double now, double actsUntil) {
    return new LeaseState(fence, Math.max(known, epoch.number()), promised, promisedUntil, epoch, round + 1,
        now, new TreeSet<>(), actsUntil);
  }

  LeaseState promisedBy(SortedSet<String> voters, double actsUntil) {
    return new LeaseState(fence, known, promised, promisedUntil, requested, round, askedAt, voters,
        Math.max(mayActUntil, actsUntil));
  }

  LeaseState fencedBy(Epoch epoch) {
    return new LeaseState(fence.max(epoch), Math.max(known, epoch.number()), promised, promisedUntil, requested,
        round, askedAt, promises, mayActUntil);
  }
}

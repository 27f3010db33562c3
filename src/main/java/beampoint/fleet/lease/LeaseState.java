package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The state of one voter. All times are in ms of its own clock.
 *
 * @param fence the highest epoch that the voter has promised or observed in use; it promises no lower one
 * @param highestKnown the highest epoch number that the voter knows; it requests higher ones
 * @param promised the epoch that is promised, or {@link Epoch#NONE}
 * @param promisedUntil when the promise expires; until then the voter promises no other epoch
 * @param requested the epoch that the voter requests or holds, or {@link Epoch#NONE}
 * @param round the number of the last request; it also counts withdrawals of requests
 * @param requestedAt the time of the last request
 * @param promises the voters that have granted the last request
 * @param heldUntil when the lease that the voter holds expires; 0 if it holds none
 */
public record LeaseState(Epoch fence, long highestKnown, Epoch promised, double promisedUntil,
    Epoch requested, long round, double requestedAt, SortedSet<String> promises, double heldUntil) {

  /**
   * The state of a voter at the start of its process. It does not know what it promised before, so it
   * promises nothing for the duration of one lease.
   *
   * @param stored the highest epoch that was stored by an earlier process, or {@link Epoch#NONE}
   */
  public static LeaseState started(LeaseSettings settings, double now, Epoch stored) {
    return new LeaseState(stored, stored.number(), Epoch.NONE, now + settings.length(), Epoch.NONE, 0, 0,
        new TreeSet<>(), 0);
  }

  /** True while the voter holds the lease, under the requested epoch. */
  public boolean isHolder(double now) {
    return now < heldUntil;
  }

  LeaseState withKnown(long number) {
    return number <= highestKnown ? this : new LeaseState(fence, number, promised, promisedUntil, requested,
        round, requestedAt, promises, heldUntil);
  }

  LeaseState withPromise(Epoch epoch, double until) {
    return new LeaseState(fence.max(epoch), Math.max(highestKnown, epoch.number()), epoch, until, requested,
        round, requestedAt, promises, heldUntil);
  }

  /** Replaces the request and its promises; {@link Epoch#NONE} withdraws the last request. */
  LeaseState withRequest(Epoch epoch, double requestTime, double until) {
    return new LeaseState(fence, Math.max(highestKnown, epoch.number()), promised, promisedUntil, epoch,
        round + 1, requestTime, new TreeSet<>(), until);
  }

  LeaseState withPromises(SortedSet<String> voters, double until) {
    return new LeaseState(fence, highestKnown, promised, promisedUntil, requested, round, requestedAt, voters,
        Math.max(heldUntil, until));
  }

  LeaseState withFence(Epoch epoch) {
    return new LeaseState(fence.max(epoch), Math.max(highestKnown, epoch.number()), promised, promisedUntil,
        requested, round, requestedAt, promises, heldUntil);
  }
}

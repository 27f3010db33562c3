package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.LeaseEvent.Acquire;
import beampoint.fleet.lease.LeaseEvent.EpochObserved;
import beampoint.fleet.lease.LeaseEvent.Received;
import beampoint.fleet.lease.LeaseEvent.Relinquish;
import beampoint.fleet.lease.LeaseMessage.Denial;
import beampoint.fleet.lease.LeaseMessage.Promise;
import beampoint.fleet.lease.LeaseMessage.Release;
import beampoint.fleet.lease.LeaseMessage.Request;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * A lease that at most one voter holds at a time, granted by the promises of a majority (after Gray and
 * Cheriton, "Leases", 1989, with the epoch of a promise as a fencing token). A pure function: from the state
 * of a voter, a time and an event, it computes the next state and the messages to send.
 */
public final class Lease {

  /** A message to be sent to another voter. */
  public record Outgoing(String to, LeaseMessage message) {}

  /** The result of an event: the next state and the messages to send. */
  public record Step(LeaseState state, List<Outgoing> messages) {}

  private final LeaseSettings settings;
  private final String self;
  private final long life;

  /**
   * Creates the state machine of one voter.
   *
   * @param life a random number drawn at the start of the process, which distinguishes its epochs from those
   *     of earlier processes of the same name
   * @throws IllegalArgumentException if {@code self} is not a voter
   */
  public Lease(LeaseSettings settings, String self, long life) {
    if (!settings.voters().contains(self)) {
      throw new IllegalArgumentException(self + " is not a voter");
    }
    this.settings = settings;
    this.self = self;
    this.life = life;
  }

  /** Handles an event. The time must not decrease between calls. */
  public Step step(LeaseState s, double now, LeaseEvent event) {
    if (event instanceof Acquire) {
      return acquire(s, now);
    } else if (event instanceof Relinquish) {
      return relinquish(s);
    } else if (event instanceof EpochObserved e) {
      boolean isSuperseded = e.epoch().compareTo(s.requested()) > 0;
      return new Step(
          isSuperseded ? s.withFence(e.epoch()).withRequest(Epoch.NONE, s.requestedAt(), 0) : s, List.of());
    } else if (event instanceof Received e && settings.voters().contains(e.from())) {
      return receive(s, now, e.from(), e.message());
    }
    return new Step(s, List.of());
  }

  /**
   * Requests promises of all voters. To renew the lease, the voter uses its current epoch, otherwise a new
   * one. A voter whose promise to another voter is unexpired sends no request, because that voter probably
   * holds the lease.
   */
  private Step acquire(LeaseState s, double now) {
    boolean isHolder = s.isHolder(now);
    Epoch epoch = isHolder ? s.requested() : new Epoch(s.highestKnown() + 1, self, life);
    if (!canPromise(s, now, epoch)) {
      return new Step(s, List.of());
    }
    LeaseState next = s.withRequest(epoch, now, isHolder ? s.heldUntil() : 0)
        .withPromise(epoch, now + settings.length());
    return new Step(addPromise(next, self), toOthers(new Request(epoch, next.round())));
  }

  private List<Outgoing> toOthers(LeaseMessage message) {
    return settings.voters().stream().filter(v -> !v.equals(self)).map(v -> new Outgoing(v, message))
        .toList();
  }

  /**
   * Whether the voter may promise an epoch: no other epoch may be promised before the last promise has
   * expired.
   */
  private static boolean canPromise(LeaseState s, double now, Epoch epoch) {
    return epoch.compareTo(s.fence()) >= 0 && (now >= s.promisedUntil() || epoch.equals(s.promised()));
  }

  /** Adds a promise. With a majority, the voter holds the lease, for a time counted from its request. */
  private LeaseState addPromise(LeaseState s, String by) {
    SortedSet<String> promises = new TreeSet<>(s.promises());
    promises.add(by);
    return s.withPromises(promises,
        promises.size() >= settings.majority() ? s.requestedAt() + settings.holdTime() : 0);
  }

  private Step receive(LeaseState s, double now, String from, LeaseMessage message) {
    if (message instanceof Request m && m.epoch().holder().equals(from)) {
      LeaseState next = s.withKnown(m.epoch().number());
      return canPromise(s, now, m.epoch())
          ? new Step(next.withPromise(m.epoch(), now + settings.length()),
              List.of(new Outgoing(from, new Promise(m.epoch(), m.round()))))
          : new Step(next, List.of(new Outgoing(from, new Denial(s.highestKnown()))));
    } else if (message instanceof Promise m) {
      boolean isCurrent = m.epoch().equals(s.requested()) && m.round() == s.round();
      return new Step(isCurrent ? addPromise(s, from) : s, List.of());
    } else if (message instanceof Denial m) {
      return new Step(s.withKnown(m.known()), List.of());
    } else if (message instanceof Release m && m.epoch().holder().equals(from)
        && m.epoch().equals(s.promised())) {
      return new Step(s.withPromise(Epoch.NONE, 0), List.of());
    }
    return new Step(s, List.of());
  }

  /** Releases the lease before its expiry, so that other voters need not wait for it. */
  private Step relinquish(LeaseState s) {
    Epoch held = s.requested();
    LeaseState next = s.withRequest(Epoch.NONE, s.requestedAt(), 0);
    boolean own = held.equals(s.promised());
    return new Step(own ? next.withPromise(Epoch.NONE, 0) : next,
        held.equals(Epoch.NONE) ? List.of() : toOthers(new Release(held)));
  }
}

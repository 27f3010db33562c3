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
 * One who may act, by the promises of a majority (after Gray and Cheriton, "Leases", 1989, with the epoch of
 * a promise as a fence). A pure function: a voter's state, a time and an event give the next state and what
 * is to be said.
 */
public final class Lease {

  /** A message to another voter. */
  public record Outgoing(String to, LeaseMessage message) {}

  /** What becomes of an event. */
  public record Step(LeaseState state, List<Outgoing> messages) {}

  private final LeaseSettings terms;
  private final String self;
  private final long life;

  /** One voter; its life is a number drawn at the start of its process. */
  public Lease(LeaseSettings terms, String self, long life) {
    if (!terms.voters().contains(self)) {
      throw new IllegalArgumentException(self + " is no voter");
    }
    this.terms = terms;
    this.self = self;
    this.life = life;
  }

  /** The next state; the time never goes back. */
  public Step step(LeaseState s, double now, LeaseEvent event) {
    if (event instanceof Acquire) {
      return ask(s, now);
    } else if (event instanceof Relinquish) {
      return giveBack(s);
    } else if (event instanceof EpochObserved e) {
      boolean passed = e.epoch().compareTo(s.requested()) > 0;
      return new Step(passed ? s.fencedBy(e.epoch()).asking(Epoch.NONE, s.askedAt(), 0) : s, List.of());
    } else if (event instanceof Received e && terms.voters().contains(e.from())) {
      return receive(s, now, e.from(), e.message());
    }
    return new Step(s, List.of());
  }

  /**
   * Asks all voters: again under the epoch that it holds, or else under a new one. Whoever has promised
   * another has reason to think that this one acts, and does not disturb it.
   */
  private Step ask(LeaseState s, double now) {
    boolean holds = s.isHolder(now);
    Epoch epoch = holds ? s.requested() : new Epoch(s.known() + 1, self, life);
    if (!mayPromise(s, now, epoch)) {
      return new Step(s, List.of());
    }
    LeaseState next = s.asking(epoch, now, holds ? s.mayActUntil() : 0)
        .promising(epoch, now + terms.length());
    return new Step(promised(next, self), sayToOthers(new Request(epoch, next.round())));
  }

  private List<Outgoing> sayToOthers(LeaseMessage message) {
    return terms.voters().stream().filter(v -> !v.equals(self)).map(v -> new Outgoing(v, message)).toList();
  }

  /** Guards against a promise to two: nobody else is promised before the time of the first has run out. */
  private static boolean mayPromise(LeaseState s, double now, Epoch epoch) {
    return epoch.compareTo(s.fence()) >= 0 && (now >= s.promisedUntil() || epoch.equals(s.promised()));
  }

  /** One more promise; with a majority it may act, counted from when it asked. */
  private LeaseState promised(LeaseState s, String by) {
    SortedSet<String> promises = new TreeSet<>(s.promises());
    promises.add(by);
    return s.promisedBy(promises, promises.size() >= terms.majority() ? s.askedAt() + terms.held() : 0);
  }

  private Step receive(LeaseState s, double now, String from, LeaseMessage message) {
    if (message instanceof Request m && m.epoch().holder().equals(from)) {
      LeaseState next = s.knowing(m.epoch().number());
      return mayPromise(s, now, m.epoch())
          ? new Step(next.promising(m.epoch(), now + terms.length()),
              List.of(new Outgoing(from, new Promise(m.epoch(), m.round()))))
          : new Step(next, List.of(new Outgoing(from, new Denial(s.known()))));
    } else if (message instanceof Promise m) {
      boolean answers = m.epoch().equals(s.requested()) && m.round() == s.round();
      return new Step(answers ? promised(s, from) : s, List.of());
    } else if (message instanceof Denial m) {
      return new Step(s.knowing(m.known()), List.of());
    } else if (message instanceof Release m && m.epoch().holder().equals(from)
        && m.epoch().equals(s.promised())) {
      return new Step(s.promising(Epoch.NONE, 0), List.of());
    }
    return new Step(s, List.of());
  }

  /** Gives the lease back: its voters need not wait for its time to run out. */
  private Step giveBack(LeaseState s) {
    Epoch held = s.requested();
    LeaseState next = s.asking(Epoch.NONE, s.askedAt(), 0);
    boolean own = held.equals(s.promised());
    return new Step(own ? next.promising(Epoch.NONE, 0) : next,
        held.equals(Epoch.NONE) ? List.of() : sayToOthers(new Release(held)));
  }
}

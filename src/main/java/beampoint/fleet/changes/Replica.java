package beampoint.fleet.changes;

import beampoint.fleet.changes.LogEvent.Elected;
import beampoint.fleet.changes.LogEvent.FoundAnew;
import beampoint.fleet.changes.LogEvent.LeaseEnded;
import beampoint.fleet.changes.LogEvent.Promised;
import beampoint.fleet.changes.LogEvent.Received;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogEvent.Tick;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.Committed;
import beampoint.fleet.changes.LogMessage.Fetch;
import beampoint.fleet.changes.LogMessage.Recover;
import beampoint.fleet.changes.LogMessage.Recovered;
import beampoint.fleet.changes.LogMessage.Refused;
import beampoint.fleet.changes.LogMessage.Rejoin;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import beampoint.fleet.changes.LogMessage.SnapshotPart;
import java.util.List;

/**
 * One replica of the change log (after Viewstamped Replication, Liskov and Cowling 2012, with the epochs of
 * {@link beampoint.fleet.lease.Lease} as views). A pure function: a state, a time and an event give the next
 * state and what is to be done. No two entries are committed under one index, whatever the clocks say: the
 * lease only keeps would-be leaders apart.
 */
public final class Replica {

  /** What becomes of an event. */
  public record Step(ReplicaState state, List<LogAction> actions) {}

  private final LogSettings terms;
  private final String self;

  public Replica(LogSettings terms, String self) {
    if (!terms.voters().contains(self)) {
      throw new IllegalArgumentException(self + " is no voter");
    }
    this.terms = terms;
    this.self = self;
  }

  /** The next state; the time never goes back. */
  public Step step(ReplicaState state, double now, LogEvent event) {
    Turn turn = new Turn(terms, self, now, state);
    if (event instanceof Tick) {
      tick(turn);
    } else if (event instanceof Promised e) {
      Follower.promise(turn, e.epoch());
    } else if (event instanceof Elected e) {
      Election.won(turn, e.epoch());
    } else if (event instanceof LeaseEnded) {
      Leader.stepDown(turn, null);
    } else if (event instanceof Submit e) {
      Submissions.submit(turn, e);
    } else if (event instanceof FoundAnew) {
      turn.mayFound = true;
    } else if (event instanceof Received e && terms.voters().contains(e.from()) && !e.from().equals(self)) {
      receive(turn, e.from(), e.message());
    }
    return new Step(turn.state(), List.copyOf(turn.actions));
  }

  private static void tick(Turn turn) {
    Rejoining.ask(turn);
    CatchUp.ask(turn);
    if (Leader.leads(turn)) {
      Leader.tick(turn);
    } else if (turn.leadership != null) {
      Election.tick(turn);
    }
  }

  private static void receive(Turn turn, String from, LogMessage message) {
    if (message instanceof Append m) {
      Follower.append(turn, from, m);
    } else if (message instanceof Accepted m) {
      Leader.accepted(turn, from, m);
    } else if (message instanceof Recover m) {
      Follower.recover(turn, from, m);
    } else if (message instanceof Recovered m) {
      Election.recovered(turn, from, m);
    } else if (message instanceof Refused m) {
      Follower.promise(turn, m.fence());
    } else {
      receiveOfCatchingUp(turn, from, message);
    }
  }

  private static void receiveOfCatchingUp(Turn turn, String from, LogMessage message) {
    if (message instanceof Fetch m) {
      CatchUp.give(turn, from, m);
    } else if (message instanceof Committed m) {
      CatchUp.entries(turn, m);
      Election.beginIfComplete(turn);
    } else if (message instanceof SnapshotPart m) {
      CatchUp.part(turn, m);
      Election.beginIfComplete(turn);
    } else if (message instanceof Rejoin m) {
      Rejoining.answer(turn, from, m);
    } else if (message instanceof RejoinAnswer m) {
      Rejoining.answered(turn, from, m);
    }
  }
}

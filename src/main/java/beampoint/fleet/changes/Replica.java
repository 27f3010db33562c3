package beampoint.fleet.changes;

import beampoint.fleet.changes.LogEvent.AllowNewLog;
import beampoint.fleet.changes.LogEvent.Elected;
import beampoint.fleet.changes.LogEvent.LeaseEnded;
import beampoint.fleet.changes.LogEvent.Promised;
import beampoint.fleet.changes.LogEvent.Received;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogEvent.Tick;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.CommittedEntries;
import beampoint.fleet.changes.LogMessage.EpochRejected;
import beampoint.fleet.changes.LogMessage.Fetch;
import beampoint.fleet.changes.LogMessage.LogReply;
import beampoint.fleet.changes.LogMessage.LogRequest;
import beampoint.fleet.changes.LogMessage.Rejoin;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import beampoint.fleet.changes.LogMessage.SnapshotPart;
import java.util.List;

/**
 * One replica of the change log (after Viewstamped Replication, Liskov and Cowling 2012, with the epochs of
 * {@link beampoint.fleet.lease.Lease} as views). It has no mutable state: from a state, a time and an event,
 * {@link #step} computes the next state and the actions to carry out. Safety does not depend on clocks: no
 * two entries are ever committed under one index. The lease only keeps candidates from competing for
 * leadership.
 */
public final class Replica {

  /** The result of an event: the next state and the actions to carry out, in order. */
  public record Step(ReplicaState state, List<LogAction> actions) {}

  private final LogSettings settings;
  private final String self;

  /**
   * Creates the state machine of one voter.
   *
   * @throws IllegalArgumentException if {@code self} is not a voter
   */
  public Replica(LogSettings settings, String self) {
    if (!settings.voters().contains(self)) {
      throw new IllegalArgumentException(self + " is not a voter");
    }
    this.settings = settings;
    this.self = self;
  }

  /** Handles an event. The time must not decrease between calls. */
  public Step step(ReplicaState state, double now, LogEvent event) {
    StepContext step = new StepContext(settings, self, now, state);
    if (event instanceof Tick) {
      tick(step);
    } else if (event instanceof Promised e) {
      Follower.promise(step, e.epoch());
    } else if (event instanceof Elected e) {
      Election.start(step, e.epoch());
    } else if (event instanceof LeaseEnded) {
      Leader.stepDown(step, null);
    } else if (event instanceof Submit e) {
      Submissions.submit(step, e);
    } else if (event instanceof AllowNewLog) {
      step.newLogAllowed = true;
    } else if (event instanceof Received e && settings.voters().contains(e.from())
        && !e.from().equals(self)) {
      receive(step, e.from(), e.message());
    }
    return new Step(step.state(), List.copyOf(step.actions));
  }

  private static void tick(StepContext step) {
    Rejoining.sendRequests(step);
    CatchUp.fetchNext(step);
    if (Leader.isLeading(step)) {
      Leader.tick(step);
    } else if (step.leadership != null) {
      Election.tick(step);
    }
  }

  private static void receive(StepContext step, String from, LogMessage message) {
    if (message instanceof Append m) {
      Follower.append(step, from, m);
    } else if (message instanceof Accepted m) {
      Leader.receiveAccepted(step, from, m);
    } else if (message instanceof LogRequest m) {
      Follower.sendLog(step, from, m);
    } else if (message instanceof LogReply m) {
      Election.receiveLogReply(step, from, m);
    } else if (message instanceof EpochRejected m) {
      Follower.promise(step, m.fence());
    } else {
      receiveCatchUp(step, from, message);
    }
  }

  private static void receiveCatchUp(StepContext step, String from, LogMessage message) {
    if (message instanceof Fetch m) {
      CatchUp.serve(step, from, m);
    } else if (message instanceof CommittedEntries m) {
      CatchUp.receiveEntries(step, m);
      Election.leadIfComplete(step);
    } else if (message instanceof SnapshotPart m) {
      CatchUp.receivePart(step, m);
      Election.leadIfComplete(step);
    } else if (message instanceof Rejoin m) {
      Rejoining.reply(step, from, m);
    } else if (message instanceof RejoinAnswer m) {
      Rejoining.receiveAnswer(step, from, m);
    }
  }
}

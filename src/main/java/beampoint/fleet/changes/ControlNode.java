package beampoint.fleet.changes;

import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogAction.RelinquishLease;
import beampoint.fleet.changes.LogAction.Send;
import beampoint.fleet.changes.LogEvent.AllowNewLog;
import beampoint.fleet.changes.LogEvent.Elected;
import beampoint.fleet.changes.LogEvent.LeaseEnded;
import beampoint.fleet.changes.LogEvent.Promised;
import beampoint.fleet.changes.LogEvent.Received;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogEvent.Tick;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.LeaseEnvelope;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import beampoint.fleet.lease.Lease;
import beampoint.fleet.lease.LeaseEvent;
import beampoint.fleet.lease.LeaseSettings;
import beampoint.fleet.lease.LeaseState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * A control machine: its replica of the change log, and its vote and candidacy for the lease of the leader,
 * whose holder is the leader. This class has no clock and no socket: each call passes the time, in ms of a
 * monotonic clock, and returns the actions to carry out. It must be used by one thread.
 */
public final class ControlNode {

  /** The number of renewals within the duration of a lease. */
  private static final int RENEWALS_PER_LEASE = 4;

  /**
   * The fraction of a lease's length after which a candidate without a majority gives up and releases the
   * promises that it received.
   */
  private static final double CANDIDACY_FRACTION = 0.5;

  /** Candidacies are delayed at random by up to this fraction of a lease's length, so that few compete. */
  private static final double JITTER_FRACTION = 0.4;

  private final LeaseSettings leaseSettings;
  private final Lease lease;
  private final Replica replica;
  private final RandomGenerator random;
  private LeaseState leaseState;
  private ReplicaState state;
  private boolean candidate;
  private double nextAttemptAt;
  private double electionDeadline; // of the candidacy for the lease, then of becoming leader with it
  private Problem lastProblem;
  private double lastAppendAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a control machine.
   *
   * @param life a random number drawn at the start of the process, which distinguishes its epochs from those
   *     of earlier processes of the same name
   * @param initialState the state that survived a restart, or {@link ReplicaState#started} if none did
   * @throws IllegalArgumentException if the voters of the log and of the lease differ, or do not include
   *     {@code self}
   */
  public ControlNode(LogSettings settings, LeaseSettings leaseSettings, String self, long life,
      ReplicaState initialState, double now, RandomGenerator random) {
    if (!settings.voters().equals(leaseSettings.voters())) {
      throw new IllegalArgumentException("the log and the lease have different voters");
    }
    this.leaseSettings = leaseSettings;
    this.lease = new Lease(leaseSettings, self, life);
    this.replica = new Replica(settings, self);
    this.random = random;
    this.state = initialState;
    this.leaseState = LeaseState.started(leaseSettings, now, initialState.log().fence());
    this.nextAttemptAt = now + leaseSettings.length() + jitter();
  }

  /** The state of its replica. */
  public ReplicaState state() {
    return state;
  }

  /** Whether it is the leader and accepts changes. */
  public boolean leads(double now) {
    return state.leads() && leaseState.isHolder(now);
  }

  /**
   * The problem that keeps the log from making progress, as far as this machine knows; to be reported to an
   * operator.
   */
  public Optional<Problem> problem() {
    Rejoining rejoining = state.rejoining();
    long nonVoters = rejoining == null ? 0
        : 1 + rejoining.answers().values().stream().filter(a -> !a.voter()).count();
    boolean isMajorityLost = leaseSettings.voters().size() - nonVoters < leaseSettings.majority();
    return isMajorityLost || lastProblem == Problem.MAJORITY_LOST ? Optional.of(Problem.MAJORITY_LOST)
        : Optional.empty();
  }

  /** To be called about every 10 ms; entries wait for up to this long, so that they are sent together. */
  public List<LogAction> tick(double now) {
    List<LogAction> actions = new ArrayList<>();
    stepDownIfLeaseLost(now, actions);
    renewOrCampaign(now, actions);
    step(now, new Tick(), actions);
    return actions;
  }

  /** Handles a message of another control machine. */
  public List<LogAction> received(double now, String from, LogMessage message) {
    List<LogAction> actions = new ArrayList<>();
    stepDownIfLeaseLost(now, actions);
    if (message instanceof LeaseEnvelope m) {
      leaseStep(now, new LeaseEvent.Received(from, m.message()), actions);
    } else {
      step(now, new Received(from, message), actions);
      if (message instanceof Append append && append.epoch().equals(state.leader())) {
        lastAppendAt = now;
        lastProblem = null;
      }
    }
    return actions;
  }

  /**
   * Submits a change. The answer is a {@link LogAction.Answer}, which this call or a later one at this
   * machine returns. There may be none; the change can then be submitted again under the same id.
   */
  public List<LogAction> submit(double now, ChangeId id, Change change) {
    List<LogAction> actions = new ArrayList<>();
    stepDownIfLeaseLost(now, actions);
    step(now, new Submit(id, change), actions);
    return actions;
  }

  /**
   * Allows this machine to found a new log at its next election. The operator accepts that committed entries
   * may be lost.
   */
  public List<LogAction> allowNewLog(double now) {
    List<LogAction> actions = new ArrayList<>();
    step(now, new AllowNewLog(), actions);
    return actions;
  }

  /**
   * Steps down if the lease of the leadership is no longer held: after a pause of the process, the lease may
   * have expired and another leader may have been elected.
   */
  private void stepDownIfLeaseLost(double now, List<LogAction> actions) {
    boolean hasLeadership = state.leadership() != null;
    if (hasLeadership
        && !(leaseState.isHolder(now) && leaseState.requested().equals(state.leadership().epoch()))) {
      step(now, new LeaseEnded(), actions);
    }
  }

  /**
   * Renews a held lease, relinquishes it if this machine does not become leader in time, or tries to acquire
   * it.
   */
  private void renewOrCampaign(double now, List<LogAction> actions) {
    if (leaseState.isHolder(now)) {
      if (!state.leads() && now >= electionDeadline) {
        relinquishLease(now, actions);
        lastProblem = Problem.NO_QUORUM;
        actions.add(new RelinquishLease(lastProblem));
      } else if (now >= nextAttemptAt) {
        nextAttemptAt = now + leaseSettings.length() / RENEWALS_PER_LEASE;
        leaseStep(now, new LeaseEvent.Acquire(), actions);
      }
    } else if (candidate && now >= electionDeadline) {
      relinquishLease(now, actions);
    } else if (now < leaseState.promisedUntil()) {
      nextAttemptAt = nextAttemptAt < leaseState.promisedUntil() ? leaseState.promisedUntil() + jitter()
          : nextAttemptAt;
    } else if (!candidate && now >= nextAttemptAt && now >= lastAppendAt + leaseSettings.length()
        && isEligible()) {
      candidate = true;
      electionDeadline = now + CANDIDACY_FRACTION * leaseSettings.length();
      leaseStep(now, new LeaseEvent.Acquire(), actions);
    }
  }

  /** Whether it is a voter of the log, may found a new one, or knows of no voter. */
  private boolean isEligible() {
    return state.log().voter() || state.newLogAllowed()
        || state.rejoining().answers().values().stream().noneMatch(RejoinAnswer::voter);
  }

  private double jitter() {
    return random.nextDouble() * JITTER_FRACTION * leaseSettings.length();
  }

  private void relinquishLease(double now, List<LogAction> actions) {
    candidate = false;
    nextAttemptAt = now + jitter();
    step(now, new LeaseEnded(), actions);
    leaseStep(now, new LeaseEvent.Relinquish(), actions);
  }

  private void leaseStep(double now, LeaseEvent event, List<LogAction> actions) {
    Lease.Step step = lease.step(leaseState, now, event);
    leaseState = step.state();
    step.messages()
        .forEach(outgoing -> actions.add(new Send(outgoing.to(), new LeaseEnvelope(outgoing.message()))));
    if (leaseState.fence().compareTo(state.log().fence()) > 0) {
      step(now, new Promised(leaseState.fence()), actions);
    }
    if (candidate && leaseState.isHolder(now)) {
      candidate = false;
      electionDeadline = now + leaseSettings.length();
      nextAttemptAt = now + leaseSettings.length() / RENEWALS_PER_LEASE;
      lastProblem = null;
      step(now, new Elected(leaseState.requested()), actions);
    }
  }

  private void step(double now, LogEvent event, List<LogAction> actions) {
    Replica.Step step = replica.step(state, now, event);
    state = step.state();
    actions.addAll(step.actions());
    for (LogAction action : step.actions()) {
      if (action instanceof RelinquishLease relinquish) {
        candidate = false;
        lastProblem = relinquish.problem();
        nextAttemptAt = now + jitter()
            + (relinquish.problem() == Problem.FENCED ? 0 : leaseSettings.length());
        leaseStep(now, new LeaseEvent.Relinquish(), actions);
      }
    }
    if (state.log().fence().compareTo(leaseState.fence()) > 0) {
      leaseStep(now, new LeaseEvent.EpochObserved(state.log().fence()), actions);
    }
  }
}

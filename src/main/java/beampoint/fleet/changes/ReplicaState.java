package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/**
 * The complete state of one replica.
 *
 * @param rejoining the progress of regaining the vote, or null for a voter
 * @param catchUp the fetch of missing committed entries, or null if nothing was ever fetched
 * @param leadership the state of an elected leader, or null if this replica is not the leader
 * @param leader the epoch of the leader last heard from, or {@link Epoch#NONE}
 * @param newLogAllowed whether an operator has allowed the replica to found a new log
 */
public record ReplicaState(LogState log, Rejoining rejoining, CatchUp catchUp, Leadership leadership,
    Epoch leader, boolean newLogAllowed) {

  /** The state of a replica that starts without a log. */
  public static ReplicaState started(long life) {
    return new ReplicaState(LogState.started(life), Rejoining.INITIAL, null, null, Epoch.NONE, false);
  }

  /** The state after a restart or a pause of the process in which the log was not lost. */
  public ReplicaState restartedWithLog() {
    return new ReplicaState(log, log.voter() ? null : Rejoining.INITIAL, null, null, Epoch.NONE, false);
  }

  /** Whether the replica is the leader and accepts changes. */
  public boolean leads() {
    return leadership != null && leadership.phase() == Leadership.Phase.LEADING;
  }
}

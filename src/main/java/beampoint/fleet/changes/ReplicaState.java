package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/**
 * All that one replica knows.
 *
 * @param rejoining null for a voter
 * @param catchUp null where nothing was ever fetched
 * @param leadership null where this replica does not lead
 * @param leader the epoch of the leader last heard, or {@link Epoch#NONE}
 * @param newLogAllowed an operator has allowed it to found a new log
 */
public record ReplicaState(LogState log, Rejoining rejoining, CatchUp catchUp, Leadership leadership,
    Epoch leader, boolean newLogAllowed) {

  /** A replica at its start, without memory. */
  public static ReplicaState started(long life) {
    return new ReplicaState(LogState.started(life), Rejoining.INITIAL, null, null, Epoch.NONE, false);
  }

  /** The same replica after a pause or restart that its log has outlived. */
  public ReplicaState restartedWithLog() {
    return new ReplicaState(log, log.voter() ? null : Rejoining.INITIAL, null, null, Epoch.NONE, false);
  }

  /** True where it leads and takes changes. */
  public boolean leads() {
    return leadership != null && leadership.phase() == Leadership.Phase.LEADING;
  }
}

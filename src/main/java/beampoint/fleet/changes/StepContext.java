package beampoint.fleet.changes;

import beampoint.fleet.changes.LogAction.Deliver;
import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogAction.Send;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.List;

/** The mutable state of a replica while it handles one event, and the actions collected so far. */
final class StepContext {

  final LogSettings settings;
  final String self;
  final double now;
  final List<LogAction> actions = new ArrayList<>();
  LogState log;
  Rejoining rejoining;
  CatchUp catchUp;
  Leadership leadership;
  Epoch leader;
  boolean newLogAllowed;

  StepContext(LogSettings settings, String self, double now, ReplicaState state) {
    this.settings = settings;
    this.self = self;
    this.now = now;
    this.log = state.log();
    this.rejoining = state.rejoining();
    this.catchUp = state.catchUp();
    this.leadership = state.leadership();
    this.leader = state.leader();
    this.newLogAllowed = state.newLogAllowed();
  }

  ReplicaState state() {
    return new ReplicaState(log, rejoining, catchUp, leadership, leader, newLogAllowed);
  }

  void send(String to, LogMessage message) {
    actions.add(new Send(to, message));
  }

  void sendToOthers(LogMessage message) {
    for (String voter : settings.voters()) {
      if (!voter.equals(self)) {
        send(voter, message);
      }
    }
  }

  /** Replaces the log, delivers the entries that are newly committed in it, and compacts it. */
  void advance(LogState next) {
    if (next.commit() > log.commit()) {
      actions.add(new Deliver(next.foundingEpoch(), next.between(log.commit() + 1, next.commit())));
    }
    log = next.compacted(settings.limits());
  }

  /** Installs a snapshot in place of entries that were never delivered. */
  void install(Snapshot snapshot) {
    log = log.withSnapshot(snapshot);
    actions.add(new Install(log.foundingEpoch(), snapshot));
  }
}

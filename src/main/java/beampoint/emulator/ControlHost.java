package beampoint.emulator;

import beampoint.fleet.changes.ControlNode;
import beampoint.fleet.distribution.DistributionNode;
import beampoint.fleet.distribution.TreeMember;
import beampoint.fleet.membership.Membership;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One emulated host of a fleet: a member of the distribution tree that serves no requests. */
final class ControlHost {

  /** The number of messages that a socket holds for a paused process. */
  private static final int MAX_DEFERRED = 200;

  final int number;
  final TreeMember member;
  final double clockRate; // speed of its own clock relative to virtual time
  final Traffic traffic = new Traffic();
  final Set<String> dead = new HashSet<>(); // the members that are dead in its own view
  private final List<Runnable> deferred = new ArrayList<>();
  Membership membership; // null if the views follow a model
  ControlNode controlNode; // of the change log; null at a proxy
  boolean leads; // as last reported to the node of the tree
  String knownLeader = "";
  DistributionNode node; // null while it is down
  ChangeChecks.Record record; // of the current process, or of the last one
  long life;
  private long appliedByEarlierProcesses;
  private boolean paused;

  ControlHost(int number, TreeMember member, double clockRate) {
    this.number = number;
    this.member = member;
    this.clockRate = clockRate;
  }

  boolean isUp() {
    return node != null;
  }

  boolean isPaused() {
    return paused;
  }

  /** Ends the process and discards its state and deferred tasks. */
  void stop() {
    node = null;
    membership = null;
    controlNode = null;
    leads = false;
    paused = false;
    deferred.clear();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> tasks = List.copyOf(deferred);
    deferred.clear();
    tasks.forEach(Runnable::run);
  }

  /** Runs a task now or, if the process is paused, when it is resumed. */
  void runOrDefer(Runnable task) {
    if (!paused) {
      task.run();
    } else if (deferred.size() < MAX_DEFERRED) {
      deferred.add(task);
    }
  }

  /** The highest entry that this or an earlier process of the host has applied. */
  long highestApplied() {
    return Math.max(appliedByEarlierProcesses, record.last());
  }

  /** Starts a new process. */
  void start(DistributionNode newNode, ChangeChecks.Record applier) {
    appliedByEarlierProcesses = record == null ? 0 : highestApplied();
    node = newNode;
    record = applier;
  }

  /** Returns a time by its own clock. */
  double localTime(double now) {
    return now * clockRate;
  }
}

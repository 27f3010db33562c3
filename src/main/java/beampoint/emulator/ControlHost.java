package beampoint.emulator;

import beampoint.fleet.changes.ControlNode;
import beampoint.fleet.distribution.DistributionNode;
import beampoint.fleet.distribution.TreeMember;
import beampoint.fleet.membership.Membership;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One hollow machine of a fleet: a member of the distribution tree and nothing else. */
final class ControlHost {

  private static final int SOCKET_BUFFER = 200; // messages that wait for a process that stands still

  final int number;
  final TreeMember member;
  final double rate; // of its own clock
  final Traffic traffic = new Traffic();
  final Set<String> dead = new HashSet<>(); // in its own view
  private final List<Runnable> waiting = new ArrayList<>();
  Membership membership; // null where who sees whom follows a model
  ControlNode controlNode; // of the change log; null at a proxy
  boolean leads; // as the tree was told
  String knownLeader = "";
  DistributionNode node; // null while it is down
  ChangeChecks.Record record; // of its present life, or the last one
  long life;
  private long earlier;
  private boolean paused;

  ControlHost(int number, TreeMember member, double rate) {
    this.number = number;
    this.member = member;
    this.rate = rate;
  }

  boolean isUp() {
    return node != null;
  }

  boolean isPaused() {
    return paused;
  }

  /** What it was told or had to do meanwhile goes with the old life. */
  void stop() {
    node = null;
    membership = null;
    controlNode = null;
    leads = false;
    paused = false;
    waiting.clear();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> waited = List.copyOf(waiting);
    waiting.clear();
    waited.forEach(Runnable::run);
  }

  /** Does it now, or when the process runs again. */
  void runOrDefer(Runnable task) {
    if (!paused) {
      task.run();
    } else if (waiting.size() < SOCKET_BUFFER) {
      waiting.add(task);
    }
  }

  /** The last entry that it applied in this life or in one before. */
  long highestApplied() {
    return Math.max(earlier, record.last());
  }

  /** Begins another life. */
  void start(DistributionNode machine, ChangeChecks.Record applier) {
    earlier = record == null ? 0 : highestApplied();
    node = machine;
    record = applier;
  }

  /** A time by its own clock. */
  double localTime(double now) {
    return now * rate;
  }
}

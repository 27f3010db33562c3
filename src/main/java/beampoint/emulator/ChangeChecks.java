package beampoint.emulator;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.distribution.ChangeApplier;
import beampoint.fleet.distribution.ConfigurationSnapshot;
import java.util.ArrayList;
import java.util.List;

/** Records committed entries and checks that every proxy applies each one once, in order and in time. */
final class ChangeChecks {

  private final List<ChangeEntry> log = new ArrayList<>();
  private final List<Double> committedAt = new ArrayList<>();
  private double countedSince;
  private double maxPurgeDelayMs;
  private double maxConfigurationDelayMs;
  private double maxDelayAfterReconnectMs;
  private long duplicateApplications;
  private long outOfOrder;
  private long uncommittedApplied;
  private long snapshots;
  private long applied;

  /** The entries applied by one process of a proxy. */
  final class Record implements ChangeApplier {

    private final Clock clock;
    private double reachableSince;
    private long last;

    Record(Clock clock, double reachableSince) {
      this.clock = clock;
      this.reachableSince = reachableSince;
    }

    /** Sets since when the proxy has been reachable; infinite while it is not. */
    void reachableSince(double time) {
      reachableSince = time;
    }

    double reachableSince() {
      return reachableSince;
    }

    long last() {
      return last;
    }

    @Override
    public Outcome apply(ChangeEntry entry) {
      if (entry.index() <= last) {
        duplicateApplications++;
      } else if (entry.index() != last + 1) {
        outOfOrder++;
      }
      if (entry.index() > log.size() || !log.get((int) entry.index() - 1).equals(entry)) {
        uncommittedApplied++;
      }
      applied++;
      last = entry.index();
      recordDelay(entry.index());
      return Outcome.APPLIED;
    }

    @Override
    public Outcome restore(ConfigurationSnapshot snapshot) {
      snapshots++;
      if (snapshot.index() <= last) {
        duplicateApplications++;
      }
      for (long index = last + 1; index <= snapshot.index(); index++) {
        recordDelay(index);
      }
      last = snapshot.index();
      return Outcome.APPLIED;
    }

    private void recordDelay(long index) {
      double committed = committedAt((int) index);
      if (committed < countedSince) {
        return;
      }
      if (reachableSince > committed) {
        maxDelayAfterReconnectMs =
            Math.max(maxDelayAfterReconnectMs, Math.max(0, clock.now() - reachableSince));
      } else if (log.get((int) index - 1).change() instanceof ConfigurationChange) {
        maxConfigurationDelayMs = Math.max(maxConfigurationDelayMs, clock.now() - committed);
      } else {
        maxPurgeDelayMs = Math.max(maxPurgeDelayMs, clock.now() - committed);
      }
    }
  }

  /** Counts only entries in the measured times that are committed from a time on. */
  void countFrom(double time) {
    countedSince = time;
  }

  void committed(ChangeEntry entry, double now) {
    log.add(entry);
    committedAt.add(now);
  }

  List<ChangeEntry> log() {
    return log;
  }

  double committedAt(int index) {
    return committedAt.get(index - 1);
  }

  /** The index of the last entry that was committed up to a time. */
  long lastUpTo(double time) {
    int last = log.size();
    while (last > 0 && committedAt(last) > time) {
      last--;
    }
    return last;
  }

  /** The longest time in ms from the commit of a purge until a reachable proxy had applied it. */
  double maxPurgeDelayMs() {
    return maxPurgeDelayMs;
  }

  /** The longest time in ms from the commit of a configuration until a reachable proxy had applied it. */
  double maxConfigurationDelayMs() {
    return maxConfigurationDelayMs;
  }

  /** The longest time in ms from when a proxy became reachable until it had applied an earlier commit. */
  double maxDelayAfterReconnectMs() {
    return maxDelayAfterReconnectMs;
  }

  /** The number of entries and snapshots that were applied although the proxy already had them. */
  long duplicateApplications() {
    return duplicateApplications;
  }

  /** The number of entries that were applied before a predecessor. */
  long outOfOrder() {
    return outOfOrder;
  }

  /** The number of applied entries that were never committed, or were committed with other contents. */
  long uncommittedApplied() {
    return uncommittedApplied;
  }

  /** The number of applied snapshots. */
  long snapshots() {
    return snapshots;
  }

  /** The number of entries that all proxies have applied, without those in snapshots. */
  long applied() {
    return applied;
  }
}

package beampoint.emulator;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.distribution.ChangeApplier;
import beampoint.fleet.distribution.ConfigurationSnapshot;
import java.util.ArrayList;
import java.util.List;

/** What was committed when, and whether every proxy applies it once, in order and in time. */
final class ChangeChecks {

  private final List<ChangeEntry> log = new ArrayList<>();
  private final List<Double> committedAt = new ArrayList<>();
  private double countFrom;
  private double purgeMax;
  private double configurationMax;
  private double healedMax;
  private long twice;
  private long outOfOrder;
  private long foreign;
  private long snapshots;
  private long applied;

  /** The entries of one life of a proxy. */
  final class Record implements ChangeApplier {

    private final Clock clock;
    private double reachableSince;
    private long last;

    Record(Clock clock, double reachableSince) {
      this.clock = clock;
      this.reachableSince = reachableSince;
    }

    /** Infinite while the proxy can't be reached. */
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
        twice++;
      } else if (entry.index() != last + 1) {
        outOfOrder++;
      }
      if (entry.index() > log.size() || !log.get((int) entry.index() - 1).equals(entry)) {
        foreign++;
      }
      applied++;
      last = entry.index();
      note(entry.index());
      return Outcome.APPLIED;
    }

    @Override
    public Outcome restore(ConfigurationSnapshot snapshot) {
      snapshots++;
      if (snapshot.index() <= last) {
        twice++;
      }
      for (long index = last + 1; index <= snapshot.index(); index++) {
        note(index);
      }
      last = snapshot.index();
      return Outcome.APPLIED;
    }

    private void note(long index) {
      double committed = committedAt((int) index);
      if (committed < countFrom) {
        return;
      }
      if (reachableSince > committed) {
        healedMax = Math.max(healedMax, Math.max(0, clock.now() - reachableSince));
      } else if (log.get((int) index - 1).change() instanceof ConfigurationChange) {
        configurationMax = Math.max(configurationMax, clock.now() - committed);
      } else {
        purgeMax = Math.max(purgeMax, clock.now() - committed);
      }
    }
  }

  /** Only what is committed from now on counts among the times. */
  void countFrom(double time) {
    countFrom = time;
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

  /** The last entry that was committed up to a time. */
  long lastUpTo(double time) {
    int last = log.size();
    while (last > 0 && committedAt(last) > time) {
      last--;
    }
    return last;
  }

  double purgeMax() {
    return purgeMax;
  }

  double configurationMax() {
    return configurationMax;
  }

  /** From when a proxy could be reached again to when it had applied what was committed before. */
  double healedMax() {
    return healedMax;
  }

  long twice() {
    return twice;
  }

  long outOfOrder() {
    return outOfOrder;
  }

  /** Entries that were never committed, or with another content. */
  long foreign() {
    return foreign;
  }

  long snapshots() {
    return snapshots;
  }

  /** Entries that proxies applied, over all. */
  long applied() {
    return applied;
  }
}

package beampoint.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Probes that wait for an answer, by their numbers: this member's own, and those it makes for others. As all
 * of a kind wait for the same time, the order of their numbers is that of their ends.
 */
final class PendingProbes {

  /** A probe of this member's own. */
  static final class Probe {
    final long number;
    final String target;
    final double directUntil;
    final double until;
    boolean relayed;

    Probe(long number, String target, double directUntil, double until) {
      this.number = number;
      this.target = target;
      this.directUntil = directUntil;
      this.until = until;
    }
  }

  /** One that another asked for, under that one's number. */
  record RelayedProbe(String asker, long askersNumber, String target, double until) {}

  private final Map<Long, Probe> own = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> relayed = new LinkedHashMap<>();
  private long lastNumber;

  /** Begins a probe of this member's own. */
  Probe begin(String target, double directUntil, double until) {
    Probe probe = new Probe(++lastNumber, target, directUntil, until);
    own.put(probe.number, probe);
    return probe;
  }

  /** Begins one for another; returns its number here. */
  long begin(RelayedProbe probe) {
    relayed.put(++lastNumber, probe);
    return lastNumber;
  }

  /** Ends a probe of this member's own; false where there is none under that number. */
  boolean end(long number) {
    return own.remove(number) != null;
  }

  /** Ends one that was made for another, and returns it; null where there is none under that number. */
  RelayedProbe endRelayed(long number) {
    return relayed.remove(number);
  }

  boolean isProbed(String target) {
    return own.values().stream().anyMatch(probe -> probe.target.equals(target));
  }

  /** This member's own, two for each interval of probing at the most, in the order of their ends. */
  Collection<Probe> own() {
    return own.values();
  }

  /** Takes out those of others whose time is over. */
  List<RelayedProbe> takeOverdue(double now) {
    List<RelayedProbe> overdue = new ArrayList<>();
    Iterator<RelayedProbe> probes = relayed.values().iterator();
    while (probes.hasNext()) {
      RelayedProbe probe = probes.next();
      if (probe.until > now) {
        break;
      }
      probes.remove();
      overdue.add(probe);
    }
    return overdue;
  }

  void clear() {
    own.clear();
    relayed.clear();
  }
}

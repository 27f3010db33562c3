package beampoint.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Probes that wait for an answer, by number: this member's own and those relayed for others. All probes of a
 * kind have the same timeout, so the order of their numbers is that of their deadlines.
 */
final class PendingProbes {

  /** A probe of this member's own. */
  static final class Probe {
    final long number;
    final String target;
    final double directDeadline;
    final double deadline;
    boolean relaysRequested;

    Probe(long number, String target, double directDeadline, double deadline) {
      this.number = number;
      this.target = target;
      this.directDeadline = directDeadline;
      this.deadline = deadline;
    }
  }

  /** A probe made for another member, with the number that the requester gave it. */
  record RelayedProbe(String requester, long requesterNumber, String target, double deadline) {}

  private final Map<Long, Probe> own = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> probesForOthers = new LinkedHashMap<>();
  private long lastNumber;

  /** Begins a probe of this member's own. */
  Probe begin(String target, double directDeadline, double deadline) {
    Probe probe = new Probe(++lastNumber, target, directDeadline, deadline);
    own.put(probe.number, probe);
    return probe;
  }

  /** Begins a probe for another member; returns its local number. */
  long begin(RelayedProbe probe) {
    probesForOthers.put(++lastNumber, probe);
    return lastNumber;
  }

  /** Removes a probe of this member's own; returns false if none has that number. */
  boolean complete(long number) {
    return own.remove(number) != null;
  }

  /** Removes and returns a probe made for another member; null if none has that number. */
  RelayedProbe completeForOther(long number) {
    return probesForOthers.remove(number);
  }

  boolean isProbed(String target) {
    return own.values().stream().anyMatch(probe -> probe.target.equals(target));
  }

  /** This member's own probes, at most two per probe interval, in the order of their deadlines. */
  Collection<Probe> own() {
    return own.values();
  }

  /** Removes and returns the probes made for others whose deadline has passed. */
  List<RelayedProbe> removeExpired(double now) {
    List<RelayedProbe> overdue = new ArrayList<>();
    Iterator<RelayedProbe> probes = probesForOthers.values().iterator();
    while (probes.hasNext()) {
      RelayedProbe probe = probes.next();
      if (probe.deadline > now) {
        break;
      }
      probes.remove();
      overdue.add(probe);
    }
    return overdue;
  }

  void clear() {
    own.clear();
    probesForOthers.clear();
  }
}

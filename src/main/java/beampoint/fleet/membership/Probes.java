package beampoint.fleet.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Probes that are out, this member's own and those it makes for others: facts that decide nothing. */
final class Probes {

  /** A probe of this member's own. */
  static final class Probe {
    final String target;
    double directUntil;
    double until;
    boolean relayed;

    Probe(String target, double directUntil, double until) {
      this.target = target;
      this.directUntil = directUntil;
      this.until = until;
    }
  }

  /** One that another asked for. */
  record Relayed(String asker, long askersNumber, String target, double until) {}

  private final Map<Long, Probe> own = new TreeMap<>();
  private final Map<Long, Relayed> relayed = new TreeMap<>();
  private long last;

  long begin(Probe probe) {
    own.put(++last, probe);
    return last;
  }

  long begin(Relayed probe) {
    relayed.put(++last, probe);
    return last;
  }

  Probe answered(long number) {
    return own.remove(number);
  }

  Relayed answeredFor(long number) {
    return relayed.remove(number);
  }

  boolean isOut(String target) {
    return own.values().stream().anyMatch(p -> p.target.equals(target));
  }

  Map<Long, Probe> own() {
    return own;
  }

  /** Takes out those of others whose time is over. */
  List<Relayed> overdue(double now) {
    List<Relayed> over = new ArrayList<>();
    for (Iterator<Relayed> i = relayed.values().iterator(); i.hasNext();) {
      Relayed next = i.next();
      if (next.until <= now) {
        i.remove();
        over.add(next);
      }
    }
    return over;
  }

  void clear() {
    own.clear();
    relayed.clear();
  }
}

package beampoint.emulator;

import beampoint.fleet.distribution.MemberProgress;
import beampoint.fleet.distribution.ProgressTracker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds what the leader believes against what is so: nobody counts as done that is not, and nobody as fenced
 * that holds itself for fresh.
 */
final class ProgressChecks {

  private final List<ControlHost> hosts;
  private final ChangeChecks checks;
  private final Map<String, ControlHost> proxies = new HashMap<>();
  private long falseDone;
  private long fencedFresh;
  private long knownUpTo;
  private double knownMax;
  private long fencedSeen;

  ProgressChecks(List<ControlHost> hosts, ChangeChecks checks) {
    this.hosts = hosts;
    this.checks = checks;
  }

  void check(double now, ProgressTracker tracker, double leadersNow) {
    if (proxies.isEmpty()) {
      hosts.forEach(host -> proxies.put(host.member.name(), host));
    }
    for (ControlHost host : hosts) {
      MemberProgress progress = tracker.progress(host.member.name());
      if (progress != null && progress.appliedUpTo() > host.highestApplied()) {
        falseDone++;
      }
    }
    List<String> fenced = tracker.fenced(leadersNow);
    fencedSeen += fenced.size();
    for (String name : fenced) {
      ControlHost host = proxies.get(name);
      if (host.isUp() && host.node.isFresh(host.localTime(now))) {
        fencedFresh++;
      }
    }
    long upTo = Math.min(tracker.doneOrFencedUpTo(leadersNow), checks.log().size());
    for (; knownUpTo < upTo; knownUpTo++) {
      knownMax = Math.max(knownMax, now - checks.committedAt((int) knownUpTo + 1));
    }
  }

  /** How often the leader held an entry for applied at a proxy that had never applied it. */
  long falseDone() {
    return falseDone;
  }

  /** How often the leader held a proxy for fenced that held itself for fresh. */
  long fencedFresh() {
    return fencedFresh;
  }

  /** How many times a proxy was found fenced, over all checks. */
  long fencedSeen() {
    return fencedSeen;
  }

  /** The longest from a commit to when the leader knew it applied, or fenced, at every proxy. */
  double knownMax() {
    return knownMax;
  }
}

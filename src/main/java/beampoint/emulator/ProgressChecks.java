package beampoint.emulator;

import beampoint.fleet.distribution.MemberProgress;
import beampoint.fleet.distribution.ProgressTracker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the leader's knowledge with the actual state: no entry may count as applied at a proxy that has
 * not applied it, and no proxy as fenced that considers itself fresh.
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

  /**
   * Checks the tracker of the present leader.
   *
   * @param leaderNow the time by the leader's clock
   */
  void check(double now, ProgressTracker tracker, double leaderNow) {
    if (proxies.isEmpty()) {
      hosts.forEach(host -> proxies.put(host.member.name(), host));
    }
    for (ControlHost host : hosts) {
      MemberProgress progress = tracker.progress(host.member.name());
      if (progress != null && progress.appliedUpTo() > host.highestApplied()) {
        falseDone++;
      }
    }
    List<String> fenced = tracker.fenced(leaderNow);
    fencedSeen += fenced.size();
    for (String name : fenced) {
      ControlHost host = proxies.get(name);
      if (host.isUp() && host.node.isFresh(host.localTime(now))) {
        fencedFresh++;
      }
    }
    long upTo = Math.min(tracker.doneOrFencedUpTo(leaderNow), checks.log().size());
    for (; knownUpTo < upTo; knownUpTo++) {
      knownMax = Math.max(knownMax, now - checks.committedAt((int) knownUpTo + 1));
    }
  }

  /** How often the leader considered an entry applied at a proxy that had never applied it. */
  long falseDone() {
    return falseDone;
  }

  /** How often the leader considered a proxy fenced that considered itself fresh. */
  long fencedFresh() {
    return fencedFresh;
  }

  /** The number of fenced proxies, summed over all checks. */
  long fencedSeen() {
    return fencedSeen;
  }

  /**
   * The longest time in ms from a commit until the leader knew that every proxy had applied the entry or was
   * fenced.
   */
  double knownMax() {
    return knownMax;
  }
}

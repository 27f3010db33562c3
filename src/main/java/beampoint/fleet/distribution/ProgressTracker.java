package beampoint.fleet.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The leader's knowledge of every expected proxy: its progress and the time of its last report. A proxy
 * without a report for longer than its freshness lease counts as fenced, and never as done.
 */
public final class ProgressTracker {

  private static final int MAX_NAMES = 16;
  private static final int MAX_REFUSED_CHANGES = 64;

  private static final class Proxy {
    private double lastHeardAt;
    private MemberProgress progress;

    Proxy(String name, double lastHeardAt) {
      this.lastHeardAt = lastHeardAt;
      this.progress = new MemberProgress(name, Long.MIN_VALUE, 0, 0);
    }
  }

  private final DistributionSettings settings;
  private final Map<String, Proxy> proxies = new TreeMap<>();
  private final TreeMap<Long, Set<String>> refusals = new TreeMap<>();
  private long unknownProxyReports;

  /**
   * Creates a tracker for a new leader. Each proxy counts as heard from at the time of creation, because the
   * previous leader may have received reports until then, which made the proxies fresh.
   */
  ProgressTracker(DistributionSettings settings, Set<String> expected, double now) {
    this.settings = settings;
    expected.forEach(name -> proxies.put(name, new Proxy(name, now)));
  }

  /** Records a report that has just arrived. */
  void update(double now, List<MemberProgress> progress) {
    progress.forEach(each -> update(now, each));
  }

  private void update(double now, MemberProgress progress) {
    Proxy proxy = proxies.get(progress.member());
    if (proxy == null) {
      unknownProxyReports++;
      return;
    }
    proxy.lastHeardAt = now;
    boolean isNewerProcess = progress.processNumber() > proxy.progress.processNumber();
    boolean isNotOlder = progress.processNumber() == proxy.progress.processNumber()
        && progress.appliedUpTo() >= proxy.progress.appliedUpTo();
    if (isNewerProcess || isNotOlder) { // otherwise a newer report has arrived before this one
      proxy.progress = progress;
      recordRefusal(progress);
    }
  }

  private void recordRefusal(MemberProgress progress) {
    if (progress.refused() > 0) {
      refusals.computeIfAbsent(progress.refused(), index -> new TreeSet<>()).add(progress.member());
      if (refusals.size() > MAX_REFUSED_CHANGES) {
        refusals.pollFirstEntry();
      }
    }
  }

  private boolean isFenced(Proxy proxy, double now) {
    return now - proxy.lastHeardAt > settings.fencingTimeout();
  }

  /** The names of the proxies that count as fenced at a time. */
  public List<String> fenced(double now) {
    List<String> names = new ArrayList<>();
    proxies.forEach((name, proxy) -> {
      if (isFenced(proxy, now)) {
        names.add(name);
      }
    });
    return names;
  }

  /** The index of the last entry that every expected proxy has applied, including fenced ones. */
  public long doneEverywhereUpTo() {
    return proxies.values().stream().mapToLong(p -> p.progress.appliedUpTo()).min().orElse(Long.MAX_VALUE);
  }

  /** The index of the last entry that every expected proxy has applied, except for fenced ones. */
  public long doneOrFencedUpTo(double now) {
    return proxies.values().stream().filter(p -> !isFenced(p, now)).mapToLong(p -> p.progress.appliedUpTo())
        .min().orElse(Long.MAX_VALUE);
  }

  /** The known progress of one proxy; null for one that is not expected. */
  public MemberProgress progress(String name) {
    Proxy proxy = proxies.get(name);
    return proxy == null ? null : proxy.progress;
  }

  /** The progress of one change across the fleet. */
  public Completion completion(long index, double now) {
    Set<String> refused = refusals.getOrDefault(index, Set.of());
    List<String> missing = new ArrayList<>();
    List<String> fenced = new ArrayList<>();
    int applied = 0;
    int fencedCount = 0;
    for (Map.Entry<String, Proxy> entry : proxies.entrySet()) {
      boolean isApplied = entry.getValue().progress.appliedUpTo() >= index;
      if (isApplied && !refused.contains(entry.getKey())) {
        applied++;
      } else if (!isApplied && isFenced(entry.getValue(), now)) {
        fencedCount++;
        addName(fenced, entry.getKey());
      } else {
        addName(missing, entry.getKey());
      }
    }
    return new Completion(index, proxies.size(), applied, missing, proxies.size() - applied - fencedCount,
        fenced, fencedCount, refused.stream().limit(MAX_NAMES).toList());
  }

  private static void addName(List<String> names, String name) {
    if (names.size() < MAX_NAMES) {
      names.add(name);
    }
  }

  /** The number of reports about proxies that are not expected. */
  public long unknownProxyReports() {
    return unknownProxyReports;
  }
}

package beampoint.fleet.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What the leader knows of every expected proxy: how far it is, and when it was heard of last. A proxy of
 * which nothing was heard for longer than its lease of freshness counts as fenced, and never as done.
 */
public final class ProgressTracker {

  private static final int MAX_NAMED = 16;
  private static final int MAX_REFUSED_CHANGES = 64;

  private static final class Proxy {
    private double heardAt;
    private MemberProgress progress;

    Proxy(String name, double heardAt) {
      this.heardAt = heardAt;
      this.progress = new MemberProgress(name, Long.MIN_VALUE, 0, 0);
    }
  }

  private final DistributionSettings terms;
  private final Map<String, Proxy> proxies = new TreeMap<>();
  private final TreeMap<Long, Set<String>> refusals = new TreeMap<>();
  private long unknown;

  /** Begins at a time: whoever led before may have seen reports up to then, and made proxies fresh by it. */
  ProgressTracker(DistributionSettings terms, Set<String> expected, double now) {
    this.terms = terms;
    expected.forEach(name -> proxies.put(name, new Proxy(name, now)));
  }

  void heard(double now, List<MemberProgress> progress) {
    progress.forEach(each -> heard(now, each));
  }

  private void heard(double now, MemberProgress progress) {
    Proxy proxy = proxies.get(progress.member());
    if (proxy == null) {
      unknown++;
      return;
    }
    proxy.heardAt = now;
    boolean isNewLife = progress.life() > proxy.progress.life();
    boolean isFurther = progress.life() == proxy.progress.life()
        && progress.appliedUpTo() >= proxy.progress.appliedUpTo();
    if (isNewLife || isFurther) { // else it was overtaken on its way
      proxy.progress = progress;
      noteRefusal(progress);
    }
  }

  private void noteRefusal(MemberProgress progress) {
    if (progress.refused() > 0) {
      refusals.computeIfAbsent(progress.refused(), index -> new TreeSet<>()).add(progress.member());
      if (refusals.size() > MAX_REFUSED_CHANGES) {
        refusals.pollFirstEntry();
      }
    }
  }

  private boolean isFenced(Proxy proxy, double now) {
    return now - proxy.heardAt > terms.fencedAfter();
  }

  /** Who is held for fenced now. */
  public List<String> fenced(double now) {
    List<String> names = new ArrayList<>();
    proxies.forEach((name, proxy) -> {
      if (isFenced(proxy, now)) {
        names.add(name);
      }
    });
    return names;
  }

  /** The last entry that every expected proxy has applied, the fenced ones too. */
  public long doneEverywhereUpTo() {
    return proxies.values().stream().mapToLong(p -> p.progress.appliedUpTo()).min().orElse(Long.MAX_VALUE);
  }

  /** The last entry that every expected proxy has applied that is not fenced. */
  public long doneOrFencedUpTo(double now) {
    return proxies.values().stream().filter(p -> !isFenced(p, now)).mapToLong(p -> p.progress.appliedUpTo())
        .min().orElse(Long.MAX_VALUE);
  }

  /** How far one proxy is known to be; null for one that is not expected. */
  public MemberProgress progress(String name) {
    Proxy proxy = proxies.get(name);
    return proxy == null ? null : proxy.progress;
  }

  /** How far one change is. */
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
        name(fenced, entry.getKey());
      } else {
        name(missing, entry.getKey());
      }
    }
    return new Completion(index, proxies.size(), applied, missing, proxies.size() - applied - fencedCount,
        fenced, fencedCount, refused.stream().limit(MAX_NAMED).toList());
  }

  private static void name(List<String> names, String name) {
    if (names.size() < MAX_NAMED) {
      names.add(name);
    }
  }

  /** How many reports named a proxy that is not expected. */
  public long unknown() {
    return unknown;
  }
}

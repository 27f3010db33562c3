package beampoint.serve;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.discovery.HostListWatcher;
import beampoint.log.Log;
import beampoint.settings.Transition;
import beampoint.settings.Transition.NamedSettings;
import beampoint.upstream.Upstreams;

/** Applies a new configuration while the proxy serves. Confined to the decision thread. */
final class Reload {

  private static final Log LOG = Log.of("serve");
  /** How long after the longest deadline the old request classes stay valid. */
  private static final double TRANSITION_EXTRA_MS = 2000;

  private Config config;
  private final NameIndex names;
  private final Decisions decisions;
  private final Upstreams upstreams;
  private final HostListWatcher watcher;
  private final Counters counters;
  private final EventLoop loop;
  private int reloads;

  Reload(Config config, NameIndex names, Decisions decisions, Upstreams upstreams, HostListWatcher watcher,
      Counters counters, EventLoop loop) {
    this.config = config;
    this.names = names;
    this.decisions = decisions;
    this.upstreams = upstreams;
    this.watcher = watcher;
    this.counters = counters;
    this.loop = loop;
  }

  /** Applies a configuration, or rejects it whole if it lacks a key that the present one has. */
  void apply(Config next) {
    String missing = config.missingIn(next);
    if (missing != null) {
      rejected("field '" + missing + "': missing");
      return;
    }
    counters.add(Counter.CONFIG_APPLIED);
    boolean addressChanged = !next.discovery().equals(config.discovery());
    LOG.info("configuration read again: discovery " + (addressChanged ? "moves to " : "stays at ")
        + next.discovery());
    if (config.needsRestart(next)) {
      LOG.warn("changes to name, addresses, limits, zones, kinds or the way hosts are listed take effect "
          + "at the next start");
    }
    config = next;
    if (addressChanged && !watcher.move(next.discovery()) && decisions.settings().listPushed()) {
      watcher.openWatch(); // no watch was open: calls the new address now, and not only at the next retry
    }
    applySettings(next);
  }

  /** Counts and logs a configuration that can't be used; from any thread. */
  void rejected(String why) {
    counters.add(Counter.CONFIG_REJECTED);
    LOG.error("new configuration rejected, the old one stays in force: " + why);
  }

  /**
   * Applies the new settings at once, together with the old request classes as long as requests may still
   * arrive that clients sent under the old settings.
   */
  private void applySettings(Config next) {
    NamedSettings present = new NamedSettings(decisions.settings(), names.settings());
    NamedSettings taken =
        Transition.keepStartupSettings(present, new NamedSettings(next.settings(), next.socketSettings()));
    double longest = Math.max(Decisions.longestWaitMs(decisions.settings()),
        Decisions.longestWaitMs(taken.settings()));
    int thisReload = ++reloads;
    change(Transition.duringTransition(present, taken));
    loop.after(longest + TRANSITION_EXTRA_MS, () -> {
      if (thisReload == reloads) {
        change(taken);
      }
    });
  }

  private void change(NamedSettings next) {
    NamedSettings present = new NamedSettings(decisions.settings(), names.settings());
    if (!next.equals(present)) {
      LOG.info("classes: " + next.socketSettings().classes() + ", attempts: "
          + next.settings().limits().maxAttempts());
      decisions.setSettings(next.settings());
      names.update(next.socketSettings());
      upstreams.setTimeouts(next.settings().limits().connectTimeout(),
          next.socketSettings().peerIdleTimeoutMs());
      decisions.dispatch(Transition.change(present, next));
    }
  }
}

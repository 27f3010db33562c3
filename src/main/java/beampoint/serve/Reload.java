package beampoint.serve;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.discovery.HostListWatcher;
import beampoint.log.Log;
import beampoint.settings.Transition;
import beampoint.settings.Transition.NamedSettings;
import beampoint.upstream.Upstreams;

/** Takes a new configuration while the proxy serves. Belongs to the decision thread. */
final class Reload {

  private static final Log LOG = Log.of("serve");
  private static final double OLD_KIND_MS = 2000; // after new settings, beside a deadline, old requests come

  private Config config;
  private final Directory directory;
  private final Decisions decisions;
  private final Upstreams upstreams;
  private final HostListWatcher watch;
  private final Counters counters;
  private final Loop loop;
  private int reloads;

  Reload(Config config, Directory directory, Decisions decisions, Upstreams upstreams, HostListWatcher watch,
      Counters counters, Loop loop) {
    this.config = config;
    this.directory = directory;
    this.decisions = decisions;
    this.upstreams = upstreams;
    this.watch = watch;
    this.counters = counters;
    this.loop = loop;
  }

  /** Takes all of it, or nothing of one that lacks what the present one has. */
  void take(Config next) {
    String missing = config.missingIn(next);
    if (missing != null) {
      failed("field '" + missing + "': missing");
      return;
    }
    counters.add(Counter.CONFIG_APPLIED);
    boolean moves = !next.discovery().equals(config.discovery());
    LOG.info("configuration read again: discovery " + (moves ? "moves to " : "stays at ") + next.discovery());
    if (config.needsRestart(next)) {
      LOG.warn("what changed of name, addresses, limits, zones, kinds or the list's ways holds from the "
          + "next start on");
    }
    config = next;
    if (moves && !watch.move(next.discovery()) && decisions.settings().listPushed()) {
      watch.follow(); // it waited to ask again
    }
    retune(next);
  }

  /** Tells of a configuration that can't be used; from any thread. */
  void failed(String why) {
    counters.add(Counter.CONFIG_REJECTED);
    LOG.error("the new configuration can't be used, the old one stays: " + why);
  }

  /** The new settings hold at once, beside the old for requests of the old kind that are on their way. */
  private void retune(Config next) {
    NamedSettings present = new NamedSettings(decisions.settings(), directory.names());
    NamedSettings taken = Transition.keepStartupSettings(present,
        new NamedSettings(next.settings(), next.socketSettings()));
    double longest = Math.max(Decisions.longestDeadline(decisions.settings()),
        Decisions.longestDeadline(taken.settings()));
    int reload = ++reloads;
    change(Transition.duringTransition(present, taken));
    loop.after(longest + OLD_KIND_MS, () -> {
      if (reload == reloads) {
        change(taken);
      }
    });
  }

  private void change(NamedSettings next) {
    NamedSettings present = new NamedSettings(decisions.settings(), directory.names());
    if (!next.equals(present)) {
      LOG.info("classes: " + next.names().classes() + ", attempts: "
          + next.settings().limits().maxAttempts());
      decisions.settings(next.settings());
      directory.take(next.names());
      upstreams.setTimeouts(next.settings().limits().connectTimeout(), next.names().connectionIdle());
      decisions.give(Transition.change(present, next));
    }
  }
}

package beampoint.soak;

import beampoint.soak.CachePeer.Behavior;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The plan of one run; its seed alone determines it. */
record SoakPlan(long seed, int processes, double deadlineMs, List<Behavior> caches,
    OriginPeer.Behavior origin, DiscoveryBehavior discovery, boolean drains, boolean outageAtRestart,
    List<ClientBehavior> clients, boolean opensIdleConnections, boolean slowReplies, Series series,
    double signalAt) {

  /** Whether discovery answers during a run. */
  enum DiscoveryBehavior {
    SERVES, IS_SILENT, IS_SILENT_FOR_A_WHILE
  }

  /** How a client uses its connections. */
  enum ClientBehavior {
    PLAIN, PIPELINED, SPLIT_WRITES, INCOMPLETE_COMMAND, DISCONNECTS, SLOW_READER,
    /** Sends thousands of commands at once and disconnects. */
    FLOODS_AND_DISCONNECTS,
    /** Sends thousands of commands at once and reads all answers. */
    FLOODS
  }

  private static final ClientBehavior[] COMMON_BEHAVIORS = {ClientBehavior.PLAIN, ClientBehavior.PIPELINED,
      ClientBehavior.SPLIT_WRITES, ClientBehavior.INCOMPLETE_COMMAND, ClientBehavior.DISCONNECTS,
      ClientBehavior.SLOW_READER};
  private static final ClientBehavior[] FLOOD_BEHAVIORS =
      {ClientBehavior.FLOODS_AND_DISCONNECTS, ClientBehavior.FLOODS};

  /** The signals of a run, and what else happens at the same time. */
  enum Series {
    TERM, TERM_TWICE, TERM_IN_SERIES, HANGUP_BEFORE_TERM, HANGUP_BESIDE_TERM, HANGUP_AFTER_TERM,
    HANGUPS_IN_SERIES,
    TERM_DURING_START, TERM_DURING_RELOAD, TERM_DURING_UPGRADE, UPGRADE, TERM_HELD_UP_SHORTLY,
    TERM_HELD_UP_LONG
  }

  private static final int MAX_CACHES = 5;
  private static final int MAX_CLIENTS = 36;
  private static final long SECOND_STREAM_MASK = 0x9e3779b97f4a7c15L; // for a second random stream
  private static final long THIRD_STREAM_MASK = 0xd1b54a32d192ed03L;

  static SoakPlan of(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double[] deadlines = {300, 500, 1000, 2000, 3000};
    double deadline = deadlines[random.nextInt(deadlines.length)];
    Series series = Series.values()[random.nextInt(Series.values().length)];
    boolean upgrades = series == Series.UPGRADE || series == Series.TERM_DURING_UPGRADE;
    List<Behavior> caches = new ArrayList<>();
    for (int i = 2 + random.nextInt(MAX_CACHES - 1); i > 0; i--) {
      double[] hangs = {0, 0.02, 0.3};
      caches.add(new Behavior(hangs[random.nextInt(hangs.length)], 0.05 * random.nextInt(3),
          0.05 * random.nextInt(3), 0.02 * random.nextInt(2), 0.1, 2 + random.nextInt(20),
          random.nextInt(3) == 0 ? 300 : 0));
    }
    DiscoveryBehavior discovery = random.nextInt(2) == 0 ? DiscoveryBehavior.SERVES
        : DiscoveryBehavior.values()[1 + random.nextInt(2)];
    List<ClientBehavior> clients = new ArrayList<>();
    for (int i = 4 + random.nextInt(MAX_CLIENTS); i > 0; i--) {
      clients.add(random.nextInt(3) == 0 ? COMMON_BEHAVIORS[random.nextInt(COMMON_BEHAVIORS.length)]
          : ClientBehavior.PLAIN);
    }
    int processes = upgrades ? 1 : 1 + random.nextInt(3);
    OriginPeer.Behavior origin = new OriginPeer.Behavior(0.02 * random.nextInt(3), 0.05 * random.nextInt(3),
        0.05 * random.nextInt(2), 3 + random.nextInt(30));
    boolean drains = discovery == DiscoveryBehavior.SERVES && random.nextInt(2) == 0;
    boolean opensIdleConnections = random.nextInt(3) == 0;
    double signalAt = 1200 + random.nextInt(800);
    boolean pausesProcesses = series == Series.TERM_HELD_UP_SHORTLY || series == Series.TERM_HELD_UP_LONG;
    // A second stream of random numbers keeps the draws above unchanged for each seed.
    SplittableRandom second = new SplittableRandom(seed ^ SECOND_STREAM_MASK);
    boolean outage = drains && !pausesProcesses && second.nextInt(2) == 0;
    for (int i = pausesProcesses ? 0 : second.nextInt(3); i > 0; i--) {
      clients.add(FLOOD_BEHAVIORS[second.nextInt(FLOOD_BEHAVIORS.length)]);
    }
    boolean slowReplies = new SplittableRandom(seed ^ THIRD_STREAM_MASK).nextInt(3) > 0;
    return new SoakPlan(seed, processes, deadline, caches, origin, discovery, drains, outage, clients,
        opensIdleConnections, slowReplies, series, signalAt);
  }

  /** True if a second process takes over from the first at the same address. */
  boolean upgrades() {
    return series == Series.UPGRADE || series == Series.TERM_DURING_UPGRADE;
  }

  @Override
  public String toString() {
    return "seed " + seed + " " + series + ", " + processes + " x " + caches.size() + " caches, "
        + Math.round(deadlineMs) + " ms, " + clients.size() + " clients"
        + (opensIdleConnections ? " in a crowd" : "") + (drains ? ", a drain" : "")
        + (slowReplies ? ", slow replies" : "") + ", discovery " + discovery
        + (outageAtRestart ? " until it falls silent over the restart" : "");
  }
}

package beampoint.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Compares every decision of the state machine with recorded ones, which were made before its data structures
 * were optimized: a change of the data structures must not change any decision. The lines of each run are
 * written to {@code target/member-decisions.txt}; to change decisions intentionally, replace the resource by
 * that file.
 */
class RecordedDecisionsTest {

  private static final MembershipSettings DEFAULTS = MembershipSettings.defaults();
  // one in four stopped members leaves in an orderly shutdown; the others crash
  private static final int ORDERLY_SHUTDOWN_ONE_IN = 4;

  private static MembershipSettings withRoomFor(int members) {
    return new MembershipSettings(DEFAULTS.tickInterval(), DEFAULTS.probeInterval(),
        DEFAULTS.directProbeTimeout(), DEFAULTS.minSuspicionTime(), DEFAULTS.pauseThreshold(),
        DEFAULTS.receiveTimeout(), DEFAULTS.isolationProbeFailures(), members);
  }

  private static RecordedFleet fleet(int members, MembershipSettings settings, long seed) {
    return new RecordedFleet(members, settings, RecordedFleet.knownMembers(members), seed);
  }

  /**
   * Message loss, bursts of it, pauses, network cuts in one or both directions, crashes, orderly shutdowns
   * and restarts, drawn with the seed of the fleet.
   */
  private static String randomFaults(RecordedFleet fleet, int rounds) {
    int size = fleet.size();
    fleet.loss(0.02);
    fleet.runTo(1_000);
    for (int round = 0; round < rounds; round++) {
      double at = fleet.now();
      int paused = fleet.random().nextInt(size);
      int sender = fleet.random().nextInt(size);
      int receiver = fleet.random().nextInt(size);
      int stopped = fleet.random().nextInt(size);
      boolean isIsolated = fleet.random().nextInt(3) == 0;
      fleet.pause(paused);
      fleet.cut((from, to) -> from == sender && (isIsolated || to == receiver)
          || to == receiver && isIsolated);
      if (fleet.isUp(stopped) && fleet.random().nextInt(ORDERLY_SHUTDOWN_ONE_IN) == 0) {
        fleet.leave(stopped);
      } else {
        fleet.kill(stopped);
      }
      fleet.loss(round % 4 == 0 ? 0.3 : 0.02);
      fleet.runTo(at + 500);
      fleet.loss(0.02);
      fleet.runTo(at + 500 + fleet.random().nextInt(3_000));
      fleet.resume(paused);
      fleet.runTo(at + 4_000 + fleet.random().nextInt(8_000));
      fleet.start(stopped);
    }
    return fleet.summary();
  }

  /** Some members are partitioned from the others for a time. */
  private static String partition(RecordedFleet fleet, int part, double cutFor, double healedFor) {
    fleet.loss(0.01);
    fleet.runTo(1_000);
    fleet.cut((from, to) -> from < part != to < part);
    fleet.runTo(1_000 + cutFor);
    fleet.cut((from, to) -> false);
    fleet.runTo(1_000 + cutFor + healedFor);
    return fleet.summary();
  }

  /** Some members crash at the same time and restart later. */
  private static String crashOfMany(RecordedFleet fleet, int part, double downFor, double backFor) {
    fleet.loss(0.01);
    fleet.runTo(1_000);
    for (int i = 0; i < part; i++) {
      fleet.kill(i);
    }
    fleet.runTo(1_000 + downFor);
    for (int i = 0; i < part; i++) {
      fleet.start(i);
    }
    fleet.runTo(1_000 + downFor + backFor);
    return fleet.summary();
  }

  /** Initial states: alive, suspected, dead and left members, some of which do not exist. */
  private static List<MemberState> mixedInitialStates() {
    List<MemberState> known = new ArrayList<>(RecordedFleet.knownMembers(9));
    Status[] states = Status.values();
    for (int i = 9; i < 24; i++) {
      String name = RecordedFleet.name(i);
      known.add(new MemberState(name, "10.1.0." + i + ":7946", states[i % states.length], i % 3,
          i % 5 == 0, name));
    }
    return known;
  }

  private static Map<String, Supplier<String>> runs() {
    Map<String, Supplier<String>> runs = new LinkedHashMap<>();
    for (int seed = 1; seed <= 4; seed++) {
      int chosen = seed;
      runs.put("troubles-2-" + seed, () -> randomFaults(fleet(2, DEFAULTS, chosen), 20));
      runs.put("troubles-3-" + seed, () -> randomFaults(fleet(3, DEFAULTS, chosen), 30));
      runs.put("troubles-6-" + seed, () -> randomFaults(fleet(6, DEFAULTS, chosen), 30));
      runs.put("troubles-14-" + seed, () -> randomFaults(fleet(14, DEFAULTS, chosen), 20));
      runs.put("plain-14-" + seed, () -> randomFaults(fleet(14, DEFAULTS.withoutSuspicion(), chosen), 5));
    }
    runs.put("troubles-40", () -> randomFaults(fleet(40, DEFAULTS, 5), 12));
    runs.put("troubles-100", () -> randomFaults(fleet(100, DEFAULTS, 6), 5));
    runs.put("seeds-only-60", () -> randomFaults(
        new RecordedFleet(60, DEFAULTS, RecordedFleet.knownMembers(3), 7), 5));
    runs.put("too-many-50", () -> randomFaults(
        new RecordedFleet(50, withRoomFor(30), RecordedFleet.knownMembers(5), 8), 5));
    runs.put("odd-start-20", () -> randomFaults(new RecordedFleet(20, DEFAULTS, mixedInitialStates(), 9), 6));
    runs.put("split-30", () -> partition(fleet(30, DEFAULTS, 10), 10, 40_000, 15_000));
    runs.put("split-120", () -> partition(fleet(120, DEFAULTS, 11), 50, 25_000, 8_000));
    runs.put("split-5", () -> partition(fleet(5, DEFAULTS, 12), 1, 20_000, 10_000));
    runs.put("mass-crash-40", () -> crashOfMany(fleet(40, DEFAULTS, 13), 36, 25_000, 10_000));
    runs.put("mass-crash-100", () -> crashOfMany(fleet(100, DEFAULTS, 14), 70, 15_000, 5_000));
    runs.put("mass-crash-400", () -> crashOfMany(fleet(400, DEFAULTS, 15), 13, 8_000, 3_000));
    runs.put("mass-crash-1000", () -> crashOfMany(fleet(1_000, DEFAULTS, 16), 30, 5_000, 1_000));
    return runs;
  }

  @Test
  void everyDecisionEqualsTheRecordedOne() throws IOException {
    String lines = List.copyOf(runs().entrySet()).parallelStream()
        .map(run -> run.getKey() + ' ' + run.getValue().get() + '\n').collect(Collectors.joining());
    Files.writeString(Path.of("target", "member-decisions.txt"), lines);
    try (InputStream recorded = getClass().getResourceAsStream("member-decisions.txt")) {
      assertEquals(new String(recorded.readAllBytes(), StandardCharsets.UTF_8), lines);
    }
  }
}

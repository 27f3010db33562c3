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
 * The decisions of the state machine, event for event, against those that were recorded before it was made
 * cheaper: a change of its data structures may change none of them. The lines of this run are written to
 * {@code target/member-decisions.txt}; who means to change decisions replaces the resource by that file.
 */
class RecordedDecisionsTest {

  private static final MembershipSettings USUAL = MembershipSettings.defaults();
  private static final int LEAVERS = 4; // one in so many of those that end does so in order

  private static MembershipSettings withRoomFor(int members) {
    return new MembershipSettings(USUAL.tickInterval(), USUAL.probeEvery(), USUAL.answerWithin(), USUAL.suspectFor(),
        USUAL.stillAfter(), USUAL.deafAfter(), USUAL.failuresOfDoubt(), members);
  }

  private static RecordedFleet fleet(int members, MembershipSettings terms, long seed) {
    return new RecordedFleet(members, terms, RecordedFleet.knownMembers(members), seed);
  }

  /** Loss, bursts, pauses, one-sided cuts, crashes, orderly ends and restarts, drawn by the fleet's seed. */
  private static String troubles(RecordedFleet fleet, int rounds) {
    int size = fleet.size();
    fleet.loss(0.02);
    fleet.runTo(1_000);
    for (int round = 0; round < rounds; round++) {
      double at = fleet.now();
      int still = fleet.random().nextInt(size);
      int mute = fleet.random().nextInt(size);
      int deaf = fleet.random().nextInt(size);
      int ended = fleet.random().nextInt(size);
      boolean allDirections = fleet.random().nextInt(3) == 0;
      fleet.pause(still);
      fleet.cut((from, to) -> from == mute && (allDirections || to == deaf) || to == deaf && allDirections);
      if (fleet.isUp(ended) && fleet.random().nextInt(LEAVERS) == 0) {
        fleet.leave(ended);
      } else {
        fleet.kill(ended);
      }
      fleet.loss(round % 4 == 0 ? 0.3 : 0.02);
      fleet.runTo(at + 500);
      fleet.loss(0.02);
      fleet.runTo(at + 500 + fleet.random().nextInt(3_000));
      fleet.resume(still);
      fleet.runTo(at + 4_000 + fleet.random().nextInt(8_000));
      fleet.start(ended);
    }
    return fleet.summary();
  }

  /** A part of the members is cut off from the others, and comes back. */
  private static String split(RecordedFleet fleet, int part, double cutFor, double healedFor) {
    fleet.loss(0.01);
    fleet.runTo(1_000);
    fleet.cut((from, to) -> from < part != to < part);
    fleet.runTo(1_000 + cutFor);
    fleet.cut((from, to) -> false);
    fleet.runTo(1_000 + cutFor + healedFor);
    return fleet.summary();
  }

  /** A part of the members ends at once, and starts again. */
  private static String massCrash(RecordedFleet fleet, int part, double downFor, double backFor) {
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

  /** Members begin with what somebody said before: some alive, suspected, dead, left or never there. */
  private static List<MemberState> oddStart() {
    List<MemberState> known = new ArrayList<>(RecordedFleet.knownMembers(9));
    Status[] states = Status.values();
    for (int i = 9; i < 24; i++) {
      String name = RecordedFleet.name(i);
      known.add(new MemberState(name, "10.1.0." + i + ":7946", states[i % states.length], i % 3, i % 5 == 0, name));
    }
    return known;
  }

  private static Map<String, Supplier<String>> runs() {
    Map<String, Supplier<String>> runs = new LinkedHashMap<>();
    for (int seed = 1; seed <= 4; seed++) {
      int chosen = seed;
      runs.put("troubles-2-" + seed, () -> troubles(fleet(2, USUAL, chosen), 20));
      runs.put("troubles-3-" + seed, () -> troubles(fleet(3, USUAL, chosen), 30));
      runs.put("troubles-6-" + seed, () -> troubles(fleet(6, USUAL, chosen), 30));
      runs.put("troubles-14-" + seed, () -> troubles(fleet(14, USUAL, chosen), 20));
      runs.put("plain-14-" + seed, () -> troubles(fleet(14, USUAL.withoutSuspicion(), chosen), 5));
    }
    runs.put("troubles-40", () -> troubles(fleet(40, USUAL, 5), 12));
    runs.put("troubles-100", () -> troubles(fleet(100, USUAL, 6), 5));
    runs.put("seeds-only-60", () -> troubles(
        new RecordedFleet(60, USUAL, RecordedFleet.knownMembers(3), 7), 5));
    runs.put("too-many-50", () -> troubles(
        new RecordedFleet(50, withRoomFor(30), RecordedFleet.knownMembers(5), 8), 5));
    runs.put("odd-start-20", () -> troubles(new RecordedFleet(20, USUAL, oddStart(), 9), 6));
    runs.put("split-30", () -> split(fleet(30, USUAL, 10), 10, 40_000, 15_000));
    runs.put("split-120", () -> split(fleet(120, USUAL, 11), 50, 25_000, 8_000));
    runs.put("split-5", () -> split(fleet(5, USUAL, 12), 1, 20_000, 10_000));
    runs.put("mass-crash-40", () -> massCrash(fleet(40, USUAL, 13), 36, 25_000, 10_000));
    runs.put("mass-crash-100", () -> massCrash(fleet(100, USUAL, 14), 70, 15_000, 5_000));
    runs.put("mass-crash-400", () -> massCrash(fleet(400, USUAL, 15), 13, 8_000, 3_000));
    runs.put("mass-crash-1000", () -> massCrash(fleet(1_000, USUAL, 16), 30, 5_000, 1_000));
    return runs;
  }

  @Test
  void everyDecisionIsAsRecorded() throws IOException {
    String lines = List.copyOf(runs().entrySet()).parallelStream()
        .map(run -> run.getKey() + ' ' + run.getValue().get() + '\n').collect(Collectors.joining());
    Files.writeString(Path.of("target", "member-decisions.txt"), lines);
    try (InputStream recorded = getClass().getResourceAsStream("member-decisions.txt")) {
      assertEquals(new String(recorded.readAllBytes(), StandardCharsets.UTF_8), lines);
    }
  }
}

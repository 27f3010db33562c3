package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.emulator.MemberFaults.Outcome;
import org.junit.jupiter.api.Test;

/** Faults of whole places, in a smaller fleet of the shape of the coming one (its size: MemberFaultStudy). */
class MemberFaultsTest {

  private static final FleetTopology TOPOLOGY = new FleetTopology(155, 62, 31, 8);
  private static final double DETECTED_WITHIN = 8_000; // ms
  private static final double HEALED_WITHIN = 10_000;

  private static void check(Outcome outcome, double within) {
    assertEquals(0, outcome.falsePositives(), outcome::toString);
    assertTrue(outcome.oneViewAfter() <= within, outcome::toString);
  }

  @Test
  void aZoneThatIsGoneAtOnceIsKnownToAllAndTakesNobodyWithIt() {
    check(new MemberFaults(TOPOLOGY, 1).zoneLost(17), DETECTED_WITHIN);
  }

  @Test
  void aRackThatIsGoneAtOnceIsKnownToAllAndTakesNobodyWithIt() {
    check(new MemberFaults(TOPOLOGY, 2).rackLost(30), DETECTED_WITHIN);
  }

  @Test
  void restartsInARowAreNoFalsePositives() {
    check(new MemberFaults(TOPOLOGY, 3).restarts(), HEALED_WITHIN);
  }

  @Test
  void aRegionThatWasCutOffIsOfOneViewWithTheOthersAgain() {
    check(new MemberFaults(TOPOLOGY, 4).regionCut(3, 60_000), HEALED_WITHIN);
  }
}

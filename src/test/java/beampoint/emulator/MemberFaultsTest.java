package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.emulator.MemberFaults.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Faults of zones, sites and regions in a smaller fleet of the planned shape; MemberFaultStudy runs full
 * size.
 */
class MemberFaultsTest {

  private static final FleetTopology TOPOLOGY = new FleetTopology(155, 62, 31, 8);
  private static final double MAX_DETECTION_MS = 8_000;
  private static final double MAX_HEALING_MS = 10_000;

  private static void check(Outcome outcome, double within) {
    assertEquals(0, outcome.falsePositives(), outcome::toString);
    assertTrue(outcome.oneViewAfter() <= within, outcome::toString);
  }

  @Test
  void theLossOfAZoneIsDetectedByAllWithoutFalsePositives() {
    check(new MemberFaults(TOPOLOGY, 1).zoneLost(17), MAX_DETECTION_MS);
  }

  @Test
  void theLossOfASiteIsDetectedByAllWithoutFalsePositives() {
    check(new MemberFaults(TOPOLOGY, 2).rackLost(30), MAX_DETECTION_MS);
  }

  @Test
  void successiveRestartsCauseNoFalsePositives() {
    check(new MemberFaults(TOPOLOGY, 3).restarts(), MAX_HEALING_MS);
  }

  @Test
  void aRegionThatWasCutOffAgreesWithTheOthersAgain() {
    check(new MemberFaults(TOPOLOGY, 4).regionCut(3, 60_000), MAX_HEALING_MS);
  }
}

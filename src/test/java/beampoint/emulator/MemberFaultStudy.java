package beampoint.emulator;

import org.junit.jupiter.api.Test;

/**
 * Measures faults of zones, sites and regions in a fleet of full size, for docs/fleet/membership.md:
 * {@code mvn -q -B test -Dtest=MemberFaultStudy -DargLine="-Xmx4g -Dstudy.size=2300"}. It takes minutes and
 * is not run by the build.
 */
class MemberFaultStudy {

  private static final FleetTopology TOPOLOGY = FleetTopology.of(Integer.getInteger("study.size", 2_300));
  private static final long SEED = Long.getLong("study.seed", 1);
  private static final double CUT_DURATION_MS = 1_000 * Integer.getInteger("study.cut.seconds", 180);

  private static MemberFaults faults() {
    return new MemberFaults(TOPOLOGY, SEED);
  }

  private static void print(MemberFaults.Outcome outcome) {
    System.out.println(TOPOLOGY.members() + " members, seed " + SEED + ": " + outcome);
  }

  @Test
  void zone() {
    print(faults().zoneLost(17));
  }

  @Test
  void rack() {
    print(faults().rackLost(90));
  }

  @Test
  void restarts() {
    print(faults().restarts());
  }

  @Test
  void region() {
    print(faults().regionCut(3, CUT_DURATION_MS));
  }
}

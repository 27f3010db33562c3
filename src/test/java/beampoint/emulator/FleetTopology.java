package beampoint.emulator;

import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** The placement of a fleet's members: evenly over sites, which belong to zones and regions. */
record FleetTopology(int members, int sites, int zones, int regions) {

  /** The topology of the planned fleet: 180 sites in 31 zones of 8 regions. */
  static FleetTopology of(int members) {
    return new FleetTopology(members, 180, 31, 8);
  }

  int site(int member) {
    return member * sites / members;
  }

  int zone(int member) {
    return site(member) * zones / sites;
  }

  int region(int member) {
    return zone(member) * regions / zones;
  }

  int[] membersOf(IntPredicate filter) {
    return IntStream.range(0, members).filter(filter).toArray();
  }
}

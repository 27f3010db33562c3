package beampoint.emulator;

import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** Where the members of a fleet stand: at sites, in zones of regions, as evenly as their numbers allow. */
record FleetTopology(int members, int sites, int zones, int regions) {

  /** The coming fleet: 180 sites in 31 zones of 8 regions. */
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

  int[] membersOf(IntPredicate place) {
    return IntStream.range(0, members).filter(place).toArray();
  }
}

package beampoint.emulator;

import beampoint.fleet.distribution.TreeMember;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The locations of the hosts of a fleet: proxies are distributed evenly over sites, sites over zones, and
 * zones over regions. The control machines have the lowest numbers.
 */
public final class FleetLayout {

  private final int controlMachines;
  private final List<TreeMember> members = new ArrayList<>();
  private final List<Integer> zones = new ArrayList<>();
  private final List<Integer> regions = new ArrayList<>();
  private final Map<String, Integer> numbers = new HashMap<>();

  /** Creates a layout with these numbers of proxies, sites, zones, regions and control machines. */
  public FleetLayout(int proxies, int sites, int zoneCount, int regionCount, int controlMachines) {
    this.controlMachines = controlMachines;
    for (int i = 0; i < controlMachines; i++) {
      add(TreeMember.control(String.format("control-%02d", i), regionName(i % regionCount)), i % zoneCount,
          i % regionCount);
    }
    for (int i = 0; i < proxies; i++) {
      int site = i % sites;
      int zone = site % zoneCount;
      int region = zone % regionCount;
      String siteName = String.format("s%03d", site);
      add(TreeMember.proxy(String.format("%s-p%04d", siteName, i), regionName(region), siteName), zone,
          region);
    }
  }

  private static String regionName(int number) {
    return "region-" + number;
  }

  private void add(TreeMember member, int zone, int region) {
    numbers.put(member.name(), members.size());
    members.add(member);
    zones.add(zone);
    regions.add(region);
  }

  /** The number of all hosts, control machines and proxies. */
  public int hosts() {
    return members.size();
  }

  /** The number of control machines. */
  public int controlMachines() {
    return controlMachines;
  }

  /** The member at a host, by the number of the host from 0. */
  public TreeMember member(int host) {
    return members.get(host);
  }

  /** The zone of a host, by the number of the host from 0. */
  public int zone(int host) {
    return zones.get(host);
  }

  /** The region of a host, by the number of the host from 0. */
  public int region(int host) {
    return regions.get(host);
  }

  /** The numbers of the hosts of a zone. */
  public List<Integer> ofZone(int zone) {
    return IntStream.range(0, hosts()).filter(host -> zone(host) == zone).boxed().toList();
  }

  /** The numbers of the hosts of a region. */
  public List<Integer> ofRegion(int region) {
    return IntStream.range(0, hosts()).filter(host -> region(host) == region).boxed().toList();
  }

  /** The names of all proxies. */
  public Set<String> proxies() {
    return members.stream().filter(p -> p.role() == TreeMember.Role.PROXY).map(TreeMember::name)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** The number of the host of this name. */
  public int hostNumber(String name) {
    return numbers.get(name);
  }
}

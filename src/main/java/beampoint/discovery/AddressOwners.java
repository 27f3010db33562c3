package beampoint.discovery;

import beampoint.discovery.HostList.Health;
import beampoint.discovery.HostList.Host;
import beampoint.log.Log;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds out which host is at an address. Discovery may announce a new host at the address of one that has
 * died before it notices that death: until then it lists both, and what is sent to the old host reaches the
 * new one. So a host whose address another one has taken is reported as gone, until it starts anew. Confined
 * to the decision thread.
 */
public final class AddressOwners {

  private static final Log LOG = Log.of("discovery");

  /** One start of a host. */
  private record Start(InetSocketAddress dial, double bornMs) {}

  private final Map<String, Start> starts = new HashMap<>(); // of the listed hosts that have an address
  private final Map<InetSocketAddress, Set<String>> owners = new HashMap<>();

  /** The entries of a list, with those as gone whose address another host has taken. */
  public List<Host> resolve(HostList list) {
    if (list.whole()) {
      Set<String> listed = list.hosts().stream().map(Host::host).collect(Collectors.toSet());
      List.copyOf(starts.keySet()).stream().filter(host -> !listed.contains(host)).forEach(this::remove);
    }
    Set<String> before = Set.copyOf(starts.keySet());
    Set<String> replaced = new LinkedHashSet<>();
    list.hosts().forEach(host -> update(host, before, replaced));
    List<Host> resolved = new ArrayList<>();
    for (Host host : list.hosts()) {
      boolean isOwner =
          host.dial() == null || owners.getOrDefault(host.dial(), Set.of()).contains(host.host());
      resolved.add(isOwner || host.health() == Health.GONE ? host : gone(host));
      replaced.remove(host.host());
    }
    replaced.forEach(name -> resolved
        .add(new Host(name, null, "", "", 0, Health.GONE, 1, starts.get(name).bornMs())));
    return resolved;
  }

  private static Host gone(Host host) {
    return new Host(host.host(), host.dial(), host.site(), host.kind(), host.block(), Health.GONE,
        host.share(), host.bornMs());
  }

  private void remove(String host) {
    Start start = starts.remove(host);
    Set<String> names = start == null ? null : owners.get(start.dial());
    if (names != null && names.remove(host) && names.isEmpty()) {
      owners.remove(start.dial());
    }
  }

  /**
   * Records one entry. A start that was not known before takes its address from the hosts that were listed
   * before; of those that come in one list the youngest has it. Hosts that started long ago, as far as
   * discovery tells, share an address.
   */
  private void update(Host host, Set<String> before, Set<String> replaced) {
    if (host.health() == Health.GONE || host.dial() == null) {
      remove(host.host());
      return;
    }
    Start start = new Start(host.dial(), host.bornMs());
    if (start.equals(starts.get(host.host()))) {
      return;
    }
    remove(host.host());
    starts.put(host.host(), start);
    Set<String> names = owners.computeIfAbsent(host.dial(), dial -> new LinkedHashSet<>());
    boolean isOlder = false;
    for (String other : List.copyOf(names)) {
      double otherBorn = starts.get(other).bornMs();
      boolean wasListed = before.contains(other);
      if (host.bornMs() > 0 && (wasListed || otherBorn < host.bornMs())) {
        names.remove(other);
        replaced.add(other);
        LOG.info(other + " counts as gone: " + host.host() + " is at its address " + host.dial());
      } else {
        isOlder |= !wasListed && otherBorn > host.bornMs();
      }
    }
    if (!isOlder) {
      names.add(host.host());
    }
  }
}

package beampoint.serve;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.discovery.AddressOwners;
import beampoint.discovery.HostList;
import beampoint.discovery.HostList.Host;
import beampoint.discovery.HostListWatcher.WatchResult;
import beampoint.upstream.Upstreams;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Receives host lists. Passes the address of each host to the connection pools and its state to the decision
 * module. Confined to the decision thread.
 */
final class HostListReceiver {

  private final NameIndex names;
  private final Decisions decisions;
  private final Upstreams upstreams;
  private final Runnable onList; // runs at each list from discovery
  private final AddressOwners addressOwners = new AddressOwners();
  private final Set<String> cacheNodes = new HashSet<>(); // in the current list
  private boolean hasHosts;
  private boolean unconfirmed; // discovery may have sent changes before this process started

  HostListReceiver(NameIndex names, Decisions decisions, Upstreams upstreams, Runnable onList) {
    this.names = names;
    this.decisions = decisions;
    this.upstreams = upstreams;
    this.onList = onList;
  }

  /** True once a list with at least one host has been received. */
  boolean hasHosts() {
    return hasHosts;
  }

  /** True if a cache node is in the current list. */
  boolean hasCacheNode(String id) {
    return cacheNodes.contains(id);
  }

  /** The event that passes the entries of a list to the decision module. */
  ListReceived event(List<Host> hosts, ListKind kind) {
    return new ListReceived(kind, hosts.stream().map(names::endpoint).toList());
  }

  /**
   * Uses the host list of the configuration. If discovery pushes changes, this process must from its start on
   * respect all that discovery has announced, so the list is unconfirmed until discovery has answered.
   */
  void receiveConfigured(HostList list) {
    unconfirmed = decisions.settings().listPushed();
    apply(list, unconfirmed ? ListKind.UNCONFIRMED : ListKind.REMEMBERED);
  }

  /** Receives a list from discovery, either complete or with changes only. */
  void receive(HostList list) {
    unconfirmed = false;
    apply(list, list.whole() ? ListKind.FULL : ListKind.CHANGES);
    onList.run();
  }

  /** A call to discovery was answered or has failed. An answer without a list confirms the configured one. */
  void onContact(WatchResult contact) {
    if (contact == WatchResult.RECEIVED && unconfirmed) {
      unconfirmed = false;
      decisions.dispatch(new ListReceived(ListKind.CHANGES, List.of()));
    }
    decisions.discoveryContacted();
  }

  private void apply(HostList list, ListKind kind) {
    List<Host> hosts = addressOwners.resolve(list);
    if (kind == ListKind.FULL) {
      cacheNodes.clear();
      upstreams.retain(hosts.stream().map(Host::host).collect(Collectors.toSet()));
    }
    hosts.forEach(this::apply);
    decisions.dispatch(event(hosts, kind));
    hasHosts |= !hosts.isEmpty();
  }

  private void apply(Host host) {
    Endpoint endpoint = names.endpoint(host);
    boolean isOrigin = endpoint.kind() == decisions.settings().originKind();
    if (endpoint.state() == EndpointState.GONE || isOrigin) {
      cacheNodes.remove(endpoint.id());
    } else {
      cacheNodes.add(endpoint.id());
    }
    if (endpoint.state() == EndpointState.GONE) {
      upstreams.remove(endpoint.id());
    } else if (host.dial() != null) { // a host without an address drains: requests in flight end normally
      upstreams.putEndpoint(endpoint.id(), host.dial(), isOrigin, endpoint.startedAt());
    }
    if (endpoint.state() == EndpointState.DRAINING) {
      upstreams.drain(endpoint.id());
    }
  }
}

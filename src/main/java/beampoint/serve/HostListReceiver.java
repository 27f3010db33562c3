package beampoint.serve;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.discovery.HostList;
import beampoint.discovery.HostList.Host;
import beampoint.discovery.HostListWatcher.WatchResult;
import beampoint.upstream.Upstreams;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Takes the lists of hosts: the connections learn where each host is reached, the decision module how it
 * stands. Belongs to the decision thread.
 */
final class HostListReceiver {

  private final Directory directory;
  private final Decisions decisions;
  private final Upstreams upstreams;
  private final Runnable answered; // by discovery, with each list
  private final Set<String> cacheNodes = new HashSet<>(); // in the list
  private boolean hasAny;
  private boolean unconfirmed; // discovery may have told more before this process started

  HostListReceiver(Directory directory, Decisions decisions, Upstreams upstreams, Runnable answered) {
    this.directory = directory;
    this.decisions = decisions;
    this.upstreams = upstreams;
    this.answered = answered;
  }

  /** True once any host was listed. */
  boolean hasAny() {
    return hasAny;
  }

  boolean hasCacheNode(String id) {
    return cacheNodes.contains(id);
  }

  /** The event by which the decision module learns of a list. */
  ListReceived event(HostList list, ListKind kind) {
    return new ListReceived(kind, list.hosts().stream().map(directory::endpoint).toList());
  }

  /**
   * Takes the list of the configuration. Where discovery pushes changes, it counts as having told them to
   * this process from its first moment, so the list is not confirmed until discovery has answered.
   */
  void remember(HostList list) {
    unconfirmed = decisions.settings().listPushed();
    take(list, unconfirmed ? ListKind.UNCONFIRMED : ListKind.REMEMBERED);
  }

  /** Takes a list of discovery, whole or with changes only. */
  void receive(HostList list) {
    unconfirmed = false;
    take(list, list.whole() ? ListKind.FULL : ListKind.CHANGES);
    answered.run();
  }

  /** Discovery was called. An answer without a list confirms the one that is remembered. */
  void called(WatchResult contact) {
    if (contact == WatchResult.RECEIVED && unconfirmed) {
      unconfirmed = false;
      decisions.give(new ListReceived(ListKind.CHANGES, List.of()));
    }
    decisions.heardDiscovery();
  }

  private void take(HostList list, ListKind kind) {
    if (kind == ListKind.FULL) {
      cacheNodes.clear();
      upstreams.retain(list.hosts().stream().map(Host::host).collect(Collectors.toSet()));
    }
    list.hosts().forEach(this::take);
    decisions.give(event(list, kind));
    hasAny |= !list.hosts().isEmpty();
  }

  private void take(Host host) {
    Endpoint endpoint = directory.endpoint(host);
    boolean isOrigin = endpoint.kind() == decisions.settings().originKind();
    if (endpoint.state() == EndpointState.GONE || isOrigin) {
      cacheNodes.remove(endpoint.id());
    } else {
      cacheNodes.add(endpoint.id());
    }
    if (endpoint.state() == EndpointState.GONE) {
      upstreams.remove(endpoint.id());
    } else if (host.dial() != null) { // else it drains, and what is out there ends as it may
      upstreams.place(endpoint.id(), host.dial(), isOrigin, endpoint.startedAt());
    }
    if (endpoint.state() == EndpointState.DRAINING) {
      upstreams.drain(endpoint.id());
    }
  }
}

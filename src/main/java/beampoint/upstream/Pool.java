package beampoint.upstream;

import beampoint.settings.Address;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connection pool of one endpoint: its idle connections, most recently used first, and those that are
 * being established. Confined to the decision thread.
 */
final class Pool {

  final String endpoint;
  final Deque<PooledConnection> idle = new ArrayDeque<>();
  final Set<PooledConnection> connecting = new LinkedHashSet<>();
  final InetSocketAddress address;
  final String hostHeader; // the address as in HTTP's Host header
  final double endpointStartedAt; // when the endpoint's process started, in Unix ms
  boolean isOrigin;

  Pool(String endpoint, InetSocketAddress address, double endpointStartedAt) {
    this.endpoint = endpoint;
    this.address = address;
    this.hostHeader = Address.format(address);
    this.endpointStartedAt = endpointStartedAt;
  }
}

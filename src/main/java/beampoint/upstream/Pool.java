package beampoint.upstream;

import beampoint.settings.Address;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * An endpoint's address and its idle connections, the last used first, and those that are being made. Belongs
 * to the decision thread.
 */
final class Pool {

  final String endpoint;
  final Deque<PooledConnection> idle = new ArrayDeque<>();
  final Set<PooledConnection> connecting = new LinkedHashSet<>();
  final InetSocketAddress dial;
  final String host; // the address as HTTP names it
  final double startedAt;
  boolean origin;

  Pool(String endpoint, InetSocketAddress dial, double startedAt) {
    this.endpoint = endpoint;
    this.dial = dial;
    this.host = Address.text(dial);
    this.startedAt = startedAt;
  }
}

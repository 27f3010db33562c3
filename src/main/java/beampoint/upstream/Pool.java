package beampoint.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** An endpoint's address and its idle connections, the last used first. Belongs to the decision thread. */
final class Pool {

  final String endpoint;
  final Deque<Link> idle = new ArrayDeque<>();
  boolean origin;
  InetSocketAddress dial;
  String host; // the address as HTTP names it
  double startedAt;

  Pool(String endpoint) {
    this.endpoint = endpoint;
  }
}

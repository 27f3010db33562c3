package beampoint.fleet.membership;

import java.util.Set;
import java.util.TreeSet;

/** That a member is suspected: since when, by whom, and until when it may refute. State without decisions. */
final class Suspicion {

  final Peer peer;
  final Set<String> accusers = new TreeSet<>();
  double since;
  double deadline;
  /** Whether it was asked for a sign of life one last time. */
  boolean lastProbeSent;

  Suspicion(Peer peer, double since) {
    this.peer = peer;
    this.since = since;
  }

  double deadline() {
    return deadline;
  }

  String name() {
    return peer.name();
  }
}

package beampoint.fleet.membership;

import java.util.Set;
import java.util.TreeSet;

/**
 * The suspicion of a member: its start, its accusers and the deadline for a refutation. Makes no decisions.
 */
final class Suspicion {

  final Peer peer;
  final Set<String> accusers = new TreeSet<>();
  double startedAt;
  double deadline;
  /** Whether the final probe before the deadline was sent. */
  boolean finalProbeSent;

  Suspicion(Peer peer, double startedAt) {
    this.peer = peer;
    this.startedAt = startedAt;
  }

  double deadline() {
    return deadline;
  }

  String name() {
    return peer.name();
  }
}

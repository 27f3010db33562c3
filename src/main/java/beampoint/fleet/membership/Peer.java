package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;

/** Another member as the local one knows it. Holds state and makes no decisions. */
final class Peer {

  /** Changed only by {@link MemberTable#update}, which keeps its indexes consistent with it. */
  MemberState state;
  /**
   * When an ALIVE state of the member was last accepted, directly or through other members, or when the
   * member was added to the table by an update.
   */
  double aliveReportAcceptedAt = Double.NEGATIVE_INFINITY;
  /** When the last datagram sent by the member itself was received. */
  double lastDatagramAt = Double.NEGATIVE_INFINITY;
  /** The highest incarnation seen in the member's own datagrams; 0 if none was received. */
  long announcedIncarnation;
  /** Set while the member is suspected, otherwise null. */
  Suspicion suspicion;

  Peer(MemberState state) {
    this.state = state;
  }

  String name() {
    return state.member();
  }

  /** True while the member is alive or suspected. */
  boolean isLive() {
    return isLive(state.status());
  }

  /**
   * True if the member's own datagrams carry a lower incarnation than the one known here: it has restarted
   * and does not know yet what is reported about it.
   */
  boolean hasStaleIncarnation() {
    return announcedIncarnation > 0 && announcedIncarnation < state.incarnation();
  }

  /** True if the member has recently announced that it receives no messages: it cannot answer probes. */
  boolean isKnownNotReceiving(double now, MembershipSettings settings) {
    return state.notReceiving() && now - aliveReportAcceptedAt < settings.minSuspicionTime();
  }

  static boolean isLive(Status status) {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }
}

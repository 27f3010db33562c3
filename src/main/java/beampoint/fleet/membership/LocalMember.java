package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;

/**
 * The local member: the state that it announces, and its own estimate of its health (Lifeguard, "local health
 * awareness").
 */
final class LocalMember {

  // between raises while no message is received
  private static final double INCARNATION_RAISE_INTERVAL_MS = 1_000;

  private final MembershipSettings settings;
  private MemberState self;
  private double lastReceivedAt; // time of the last message from any member
  private double incarnationRaisedAt = Double.NEGATIVE_INFINITY;
  private int consecutiveFailures;
  private boolean wasMaybeIsolated; // at the last call of isolationEnded

  LocalMember(MembershipSettings settings, String name, String address, double now) {
    this.settings = settings;
    this.self = new MemberState(name, address, Status.ALIVE, 1, false, name);
    this.lastReceivedAt = now;
  }

  MemberState state() {
    return self;
  }

  String name() {
    return self.member();
  }

  void messageReceived(double now) {
    lastReceivedAt = now;
  }

  void probeSucceeded() {
    consecutiveFailures = 0;
  }

  void probeFailed() {
    consecutiveFailures++;
  }

  /**
   * True while this member may be cut off from the others: it receives no messages, or too many of its probes
   * in a row have failed. It cannot tell this from a failure of all other members.
   */
  boolean mayBeIsolated() {
    return self.notReceiving() || consecutiveFailures >= settings.isolationProbeFailures();
  }

  /** True if {@link #mayBeIsolated} was true at the last call of this method and no longer is. */
  boolean isolationEnded() {
    boolean ended = wasMaybeIsolated && !mayBeIsolated();
    wasMaybeIsolated = mayBeIsolated();
    return ended;
  }

  /** True if no message has been received for the receive timeout although the view has live peers. */
  boolean isNotReceiving(double now, boolean hasLivePeers) {
    return hasLivePeers && now - lastReceivedAt > settings.receiveTimeout();
  }

  /**
   * True if the receiving status has to be announced: once per {@link #INCARNATION_RAISE_INTERVAL_MS} while
   * nothing is received, and once when messages arrive again.
   */
  boolean needsAnnouncement(boolean notReceiving, double now) {
    return notReceiving && now - incarnationRaisedAt >= INCARNATION_RAISE_INTERVAL_MS
        || !notReceiving && self.notReceiving();
  }

  /**
   * Sets the own incarnation to one above the given incarnation. This refutes reports with the given
   * incarnation.
   */
  void raiseIncarnation(long incarnation, boolean notReceiving, double now) {
    incarnationRaisedAt = now;
    self = new MemberState(self.member(), self.address(), self.status(), incarnation + 1, notReceiving,
        self.member());
  }

  void leave() {
    self = self.withStatus(Status.LEFT, self.member());
  }
}

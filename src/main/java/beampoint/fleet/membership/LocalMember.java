package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;

/** This member itself: what it says of itself, and its health as it can judge it (Lifeguard). */
final class LocalMember {

  private static final double RAISE_EVERY = 1_000; // ms, while it hears nobody

  private final MembershipSettings terms;
  private MemberState self;
  private double heardAt; // anybody
  private double raisedAt = Double.NEGATIVE_INFINITY;
  private int failuresInARow;
  private boolean doubted; // at the last look

  LocalMember(MembershipSettings terms, String name, String address, double now) {
    this.terms = terms;
    this.self = new MemberState(name, address, Status.ALIVE, 1, false, name);
    this.heardAt = now;
  }

  MemberState news() {
    return self;
  }

  String name() {
    return self.member();
  }

  void heardSomebody(double now) {
    heardAt = now;
  }

  void probeSucceeded() {
    failuresInARow = 0;
  }

  void probeFailed() {
    failuresInARow++;
  }

  /** True while there is reason to think that it is cut off, or that all others are gone. */
  boolean mayBeIsolated() {
    return self.notReceiving() || failuresInARow >= terms.failuresOfDoubt();
  }

  /** True where it has doubted itself at the last call, and does no longer. */
  boolean doubtHasEnded() {
    boolean ended = doubted && !mayBeIsolated();
    doubted = mayBeIsolated();
    return ended;
  }

  /** True while it has heard nobody for long, though others live in its view. */
  boolean isDeaf(double now, boolean hasLivingPeers) {
    return hasLivingPeers && now - heardAt > terms.deafAfter();
  }

  /** True where others have to be told whether it hears: each second anew while it does not. */
  boolean hasToTell(boolean deaf, double now) {
    return deaf && now - raisedAt >= RAISE_EVERY || !deaf && self.notReceiving();
  }

  /** Goes above an incarnation, which refutes what others say under it. */
  void raiseAbove(long incarnation, boolean deaf, double now) {
    raisedAt = now;
    self = new MemberState(self.member(), self.address(), self.status(), incarnation + 1, deaf, self.member());
  }

  void leave() {
    self = self.as(Status.LEFT, self.member());
  }
}

package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;

/** What a member may do. */
public sealed interface MemberAction {

  /** Sends a datagram to a member. */
  record Send(MemberState to, Message message) implements MemberAction {}

  /** Exchanges the whole view with a member: each gets the other's. */
  record Exchange(MemberState peer) implements MemberAction {}

  /** A member stands otherwise than before. */
  record Changed(MemberState state) implements MemberAction {}
}

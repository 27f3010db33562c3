package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;

/** An action that the membership state machine requests. */
public sealed interface MemberAction {

  /** Sends a datagram to a member. */
  record Send(MemberState to, Message message) implements MemberAction {}

  /** Exchanges whole views with a member: each side receives the other's. */
  record Exchange(MemberState peer) implements MemberAction {}

  /** Reports a change of a member's state in this member's view. */
  record ReportChange(MemberState state) implements MemberAction {}
}

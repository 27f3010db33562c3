package beampoint.fleet.membership;

import beampoint.fleet.message.Message;
import beampoint.fleet.message.News;

/** What a member may do. */
public sealed interface MemberAction {

  /** Sends a datagram to a member. */
  record Send(News to, Message message) implements MemberAction {}

  /** Exchanges the whole view with a member: each gets the other's. */
  record Exchange(News with) implements MemberAction {}

  /** A member stands otherwise than before. */
  record Changed(News now) implements MemberAction {}
}

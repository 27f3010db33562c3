package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import java.util.List;

/** An event that the membership state machine handles. */
public sealed interface MemberEvent {

  /** A tick interval has passed. */
  record Tick() implements MemberEvent {}

  /** A datagram was received. */
  record Received(Message message) implements MemberEvent {}

  /** The whole view of another member was received. */
  record ViewReceived(List<MemberState> view) implements MemberEvent {}

  /** This member is about to leave in an orderly shutdown. */
  record Leave() implements MemberEvent {}
}

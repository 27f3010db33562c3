package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import java.util.List;

/** What a member observes. */
public sealed interface MemberEvent {

  /** A step's time has passed. */
  record Tick() implements MemberEvent {}

  /** A datagram has come. */
  record Received(Message message) implements MemberEvent {}

  /** Another's whole view has come. */
  record ViewReceived(List<MemberState> view) implements MemberEvent {}

  /** This member is about to end in order. */
  record Leave() implements MemberEvent {}
}

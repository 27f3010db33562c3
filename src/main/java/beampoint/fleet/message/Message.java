package beampoint.fleet.message;

import java.util.List;

/**
 * A datagram from one member to another.
 *
 * @param number the number of a probe, which its answers echo
 * @param from the sender's own state
 * @param target the member that a relayed probe is for; empty for the receiver itself
 * @param updates the member states that are piggybacked on the message
 */
public record Message(Kind kind, long number, MemberState from, String target, List<MemberState> updates) {

  /**
   * The kind of a message: PING asks for an ACK, RELAY asks the receiver to ping another member, NACK reports
   * that the other member did not answer, GOSSIP only carries updates.
   */
  public enum Kind {
    PING, ACK, RELAY, NACK, GOSSIP
  }
}

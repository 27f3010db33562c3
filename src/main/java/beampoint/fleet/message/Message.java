package beampoint.fleet.message;

import java.util.List;

/**
 * What one member says to another in a datagram.
 *
 * @param number of a probe, echoed by its answers
 * @param from who says it, as that stands in its own view
 * @param about whom a probe is for; empty for the receiver itself
 * @param news what goes along with it
 */
public record Message(Kind kind, long number, MemberState from, String about, List<MemberState> news) {

  /** PING asks for a sign of life, RELAY asks to ping another, NACK says that this one did not answer. */
  public enum Kind {
    PING, ACK, RELAY, NACK, GOSSIP
  }
}

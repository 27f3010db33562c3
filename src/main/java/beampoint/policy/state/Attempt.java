package beampoint.policy.state;

import beampoint.Balancer.RequestClass;

/** One attempt of a request at a node, in flight or ended. */
public final class Attempt {

  public final Node node;
  public final double sentAt;
  /** Attempts in flight at the node when this one was sent, itself included. */
  public final int inFlightAtSend;
  public final RequestClass requestClass;
  /** Index among the attempts of its request, from 0. */
  public final int number;
  /** True once the outcome is known. */
  public boolean ended;

  public Attempt(Node node, double sentAt, int inFlightAtSend, RequestClass requestClass, int number) {
    this.node = node;
    this.sentAt = sentAt;
    this.inFlightAtSend = inFlightAtSend;
    this.requestClass = requestClass;
    this.number = number;
  }
}

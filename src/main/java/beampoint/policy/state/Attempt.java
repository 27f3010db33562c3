package beampoint.policy.state;

import beampoint.Balancer.RequestClass;

/** An attempt that is out, or was. */
public final class Attempt {

  public final Node node;
  public final double sentAt;
  public final int depth;
  public final RequestClass type;
  /** Which one of its request's. */
  public final int number;
  /** The outcome is known. */
  public boolean over;

  public Attempt(Node node, double sentAt, int depth, RequestClass type, int number) {
    this.node = node;
    this.sentAt = sentAt;
    this.depth = depth;
    this.type = type;
    this.number = number;
  }
}

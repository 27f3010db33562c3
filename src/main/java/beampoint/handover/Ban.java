package beampoint.handover;

/**
 * The ban of a cache node, which operators have taken out of service.
 *
 * @param since when it was taken out, in Unix ms
 * @param until when it was put back into service, in Unix ms; infinite while it is out
 */
public record Ban(String node, double since, double until) {

  /** True while the node is out of service. */
  public boolean isActive() {
    return until == Double.POSITIVE_INFINITY;
  }

  /** When it was last taken out or put back: of two bans of one node, the one that changed later is valid. */
  double changedAt() {
    return isActive() ? since : until;
  }
}

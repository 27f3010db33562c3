package beampoint.handover;

/** A cache node was taken out at one time, and is until another; both in Unix ms. */
public record Ban(String node, double since, double until) {

  public boolean isOut() {
    return until == Double.POSITIVE_INFINITY;
  }

  /** When it was last called out or back: of two that tell of one node the later holds. */
  double changedAt() {
    return isOut() ? since : until;
  }
}

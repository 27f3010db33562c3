package beampoint.handover;

/**
 * A current or lifted ban of a cache node. A banned node is taken out of service by operators.
 *
 * @param since when the ban began, in Unix ms
 * @param until when the ban was lifted, in Unix ms; infinite while it is active
 */
public record Ban(String node, double since, double until) {

  /** True until the ban is lifted. */
  public boolean isActive() {
    return until == Double.POSITIVE_INFINITY;
  }

  /** When the ban last began or was lifted: of two bans of one node, the one that changed later is valid. */
  double changedAt() {
    return isActive() ? since : until;
  }
}

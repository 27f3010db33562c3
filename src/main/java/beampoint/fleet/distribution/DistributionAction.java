package beampoint.fleet.distribution;

/** An action that a member of the tree requests; changes are applied through its {@link ChangeApplier}. */
public sealed interface DistributionAction {

  /** Sends a message to a member. */
  record Send(String to, DistributionMessage message) implements DistributionAction {}
}

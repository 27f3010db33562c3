package beampoint.fleet.distribution;

/** What a member of the tree wants done; applying goes through its {@link ChangeApplier}. */
public sealed interface DistributionAction {

  /** Sends a message to a member. */
  record Send(String to, DistributionMessage message) implements DistributionAction {}
}

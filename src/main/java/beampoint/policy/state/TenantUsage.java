package beampoint.policy.state;

/** A tenant's recent requests, and the token bucket that holds what is left of its share. */
public final class TenantUsage {

  public final DecayingMean requests = new DecayingMean();
  public double tokens = 1;
}

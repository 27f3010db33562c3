package beampoint.policy.state;

/** A tenant's recent requests, and what is left of its share. */
public final class Usage {

  public final Mean requests = new Mean();
  public double tokens = 1;
}

package beampoint.policy.state;

/** The time in ms at which operators took an endpoint out of use and, if so, put it back in use. */
public record Ban(double since, double until) {

  public static final Ban NONE = new Ban(0, 0);

  /** True until operators put the endpoint back in use. */
  public boolean isActive() {
    return until == Double.POSITIVE_INFINITY;
  }
}

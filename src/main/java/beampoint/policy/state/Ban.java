package beampoint.policy.state;

/**
 * A ban of an endpoint by operators, from {@code since} to {@code until} in ms; {@code until} is infinite
 * while the ban lasts.
 */
public record Ban(double since, double until) {

  /** The value for an endpoint that was never banned. */
  public static final Ban NONE = new Ban(0, 0);

  /** True until operators end the ban. */
  public boolean isActive() {
    return until == Double.POSITIVE_INFINITY;
  }
}

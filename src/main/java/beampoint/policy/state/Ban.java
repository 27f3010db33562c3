package beampoint.policy.state;

/** An endpoint was taken out at one time, and is until another. */
public record Ban(double since, double until) {

  public static final Ban NONE = new Ban(0, 0);

  public boolean isOut() {
    return until == Double.POSITIVE_INFINITY;
  }
}

package beampoint.policy.state;

/** A mean of observations that count half after a time; it holds figures and decides nothing. */
public final class DecayingMean {

  private double sum;
  private double count;
  private double at;
  private double addedAt;

  public void add(double now, double halfLife, double value) {
    fade(now, halfLife);
    addedAt = now;
    sum += value;
    count++;
  }

  /** The mean, with a prior value that counts like so many observations. */
  public double value(double now, double halfLife, double prior, double weight) {
    fade(now, halfLife);
    return (sum + prior * weight) / (count + weight);
  }

  /** What is left of the observations' number. */
  public double count(double now, double halfLife) {
    fade(now, halfLife);
    return count;
  }

  /** How long ago the last observation was. */
  public double age(double now) {
    return now - addedAt;
  }

  /** Observations a millisecond. */
  public double rate(double now, double halfLife) {
    return count(now, halfLife) * Math.log(2) / halfLife;
  }

  /** The same where observing began at a time: what was before it is not missing. */
  public double rate(double now, double halfLife, double since) {
    return rate(now, halfLife) / Math.max(1e-9, 1 - Math.pow(0.5, (now - since) / halfLife));
  }

  /** What is left of the observations' sum, as of the last one. */
  public double sum() {
    return sum;
  }

  private void fade(double now, double halfLife) {
    double keep = now > at ? Math.pow(0.5, (now - at) / halfLife) : 1;
    sum *= keep;
    count *= keep;
    at = now;
  }
}

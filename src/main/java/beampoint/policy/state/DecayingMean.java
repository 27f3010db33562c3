package beampoint.policy.state;

/** Mean and count of observations with exponential decay. Times and half-lives are in ms. */
public final class DecayingMean {

  private double sum;
  private double count;
  private double decayedAt;
  private double addedAt;

  public void add(double now, double halfLife, double value) {
    decay(now, halfLife);
    addedAt = now;
    sum += value;
    count++;
  }

  /** The mean, with a prior value that counts as {@code priorWeight} observations. */
  public double mean(double now, double halfLife, double prior, double priorWeight) {
    decay(now, halfLife);
    return (sum + prior * priorWeight) / (count + priorWeight);
  }

  /** The decayed number of observations. */
  public double count(double now, double halfLife) {
    decay(now, halfLife);
    return count;
  }

  /** Time since the last observation. */
  public double age(double now) {
    return now - addedAt;
  }

  /** Observations per ms. */
  public double rate(double now, double halfLife) {
    return count(now, halfLife) * Math.log(2) / halfLife;
  }

  /** Observations per ms, corrected for an observation that began only at {@code since}. */
  public double rate(double now, double halfLife, double since) {
    return rate(now, halfLife) / Math.max(1e-9, 1 - Math.pow(0.5, (now - since) / halfLife));
  }

  /** The decayed sum of the observations at the time of the last call that decayed it. */
  public double sum() {
    return sum;
  }

  private void decay(double now, double halfLife) {
    double keep = now > decayedAt ? Math.pow(0.5, (now - decayedAt) / halfLife) : 1;
    sum *= keep;
    count *= keep;
    decayedAt = now;
  }
}

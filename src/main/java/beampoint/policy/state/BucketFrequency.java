package beampoint.policy.state;

import java.util.Arrays;

/** Recent number of requests for each bucket; all counts are halved once every half-life. */
public final class BucketFrequency {

  private final double[] counts;
  private final double halfLife;
  private double total;
  private double halvedAt;

  /** Counts for this number of buckets; the half-life is in ms. */
  public BucketFrequency(int buckets, double halfLife) {
    this.counts = new double[buckets];
    this.halfLife = halfLife;
  }

  public void add(double now, int bucket) {
    if (now - halvedAt >= halfLife) {
      Arrays.setAll(counts, i -> counts[i] / 2);
      total /= 2;
      halvedAt = now;
    }
    counts[bucket]++;
    total++;
  }

  public double of(int bucket) {
    return counts[bucket];
  }

  /** Sum of the counts of all buckets. */
  public double total() {
    return total;
  }
}

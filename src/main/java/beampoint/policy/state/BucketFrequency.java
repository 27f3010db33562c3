package beampoint.policy.state;

import java.util.Arrays;

/** How often each bucket was asked for of late; it holds counts and decides nothing. */
public final class BucketFrequency {

  private final double[] counts;
  private final double halfLife;
  private double total;
  private double halvedAt;

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

  public double total() {
    return total;
  }
}

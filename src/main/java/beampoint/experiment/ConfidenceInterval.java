package beampoint.experiment;

import java.util.EnumSet;
import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Statistic;
import org.apache.commons.statistics.distribution.TDistribution;

/** A mean and its 95% confidence interval, by Student's t: the values are independent days. */
public record ConfidenceInterval(double mean, double low, double high) {

  private static final double TAIL_PROBABILITY = 0.025; // at each end

  /** Of two values or more. */
  public static ConfidenceInterval of(double[] values) {
    DoubleStatistics statistics =
        DoubleStatistics.of(EnumSet.of(Statistic.MEAN, Statistic.STANDARD_DEVIATION), values);
    double mean = statistics.getAsDouble(Statistic.MEAN);
    double deviation = statistics.getAsDouble(Statistic.STANDARD_DEVIATION);
    double t = TDistribution.of(values.length - 1).inverseSurvivalProbability(TAIL_PROBABILITY);
    double halfWidth = t * deviation / Math.sqrt(values.length);
    return new ConfidenceInterval(mean, mean - halfWidth, mean + halfWidth);
  }

  /** Of the differences between values that belong together. */
  public static ConfidenceInterval ofDifference(double[] values, double[] base) {
    double[] differences = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      differences[i] = values[i] - base[i];
    }
    return of(differences);
  }

  /** True where it tells that the mean is not zero. */
  public boolean excludesZero() {
    return low > 0 || high < 0;
  }

  public double halfWidth() {
    return (high - low) / 2;
  }
}

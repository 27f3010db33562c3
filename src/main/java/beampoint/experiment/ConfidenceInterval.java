package beampoint.experiment;

import java.util.EnumSet;
import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Statistic;
import org.apache.commons.statistics.distribution.TDistribution;

/** A mean and its 95% confidence interval by Student's t distribution, for independent values. */
public record ConfidenceInterval(double mean, double low, double high) {

  private static final double TAIL_PROBABILITY = 0.025; // on each side

  /** The interval of the mean of at least two values. */
  public static ConfidenceInterval of(double[] values) {
    DoubleStatistics statistics =
        DoubleStatistics.of(EnumSet.of(Statistic.MEAN, Statistic.STANDARD_DEVIATION), values);
    double mean = statistics.getAsDouble(Statistic.MEAN);
    double deviation = statistics.getAsDouble(Statistic.STANDARD_DEVIATION);
    double t = TDistribution.of(values.length - 1).inverseSurvivalProbability(TAIL_PROBABILITY);
    double halfWidth = t * deviation / Math.sqrt(values.length);
    return new ConfidenceInterval(mean, mean - halfWidth, mean + halfWidth);
  }

  /** The interval of the mean difference between paired values. */
  public static ConfidenceInterval ofDifference(double[] values, double[] base) {
    double[] differences = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      differences[i] = values[i] - base[i];
    }
    return of(differences);
  }

  /** True if the mean differs significantly from zero. */
  public boolean excludesZero() {
    return low > 0 || high < 0;
  }

  /** Half the length of the interval. */
  public double halfWidth() {
    return (high - low) / 2;
  }
}

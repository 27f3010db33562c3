package beampoint.benchmark;

import java.util.List;
import java.util.Locale;

/** A least-squares line through measured points, with the largest residual and the size that has it. */
public record LinearFit(double intercept, double slope, double worstResidual, double worstAt) {

  /** A value measured at a size. */
  public record Point(double size, double value) {}

  /** Fits a line to points of at least two different sizes. */
  public static LinearFit of(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size - meanSize) * (point.value - meanValue);
      variance += (point.size - meanSize) * (point.size - meanSize);
    }
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double worst = 0;
    double worstAt = points.get(0).size;
    for (Point point : points) {
      double residual = point.value - intercept - slope * point.size;
      if (Math.abs(residual) > Math.abs(worst)) {
        worst = residual;
        worstAt = point.size;
      }
    }
    return new LinearFit(intercept, slope, worst, worstAt);
  }

  /** The value of the line at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }

  /** The fit as one line of a report. */
  public String text(String what, String unit) {
    return String.format(Locale.ROOT, "%s = %.4g + %.4g x size %s, worst residual %.3g at %.0f", what,
        intercept, slope, unit, worstResidual, worstAt);
  }
}

package beampoint.emulator;

/** A straight line fitted by least squares, and the largest distance of a point from it. */
record LeastSquares(double intercept, double slope, double worstResidual) {

  static LeastSquares fit(double[] x, double[] y) {
    double meanX = mean(x);
    double meanY = mean(y);
    double products = 0;
    double squares = 0;
    for (int i = 0; i < x.length; i++) {
      products += (x[i] - meanX) * (y[i] - meanY);
      squares += (x[i] - meanX) * (x[i] - meanX);
    }
    double slope = squares == 0 ? 0 : products / squares;
    double intercept = meanY - slope * meanX;
    double worst = 0;
    for (int i = 0; i < x.length; i++) {
      worst = Math.max(worst, Math.abs(y[i] - intercept - slope * x[i]));
    }
    return new LeastSquares(intercept, slope, worst);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}

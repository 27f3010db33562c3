package beampoint.emulator;

/** A line through points by least squares, and how far the worst point lies from it. */
record LeastSquares(double atZero, double slope, double worstResidual) {

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
    double atZero = meanY - slope * meanX;
    double worst = 0;
    for (int i = 0; i < x.length; i++) {
      worst = Math.max(worst, Math.abs(y[i] - atZero - slope * x[i]));
    }
    return new LeastSquares(atZero, slope, worst);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}

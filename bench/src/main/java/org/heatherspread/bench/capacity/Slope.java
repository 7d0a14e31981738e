package org.heatherspread.bench.capacity;

/**
 * A line fitted by least squares through measured points. Immutable.
 *
 * @param base value at size 0
 * @param perUnit growth with each unit of size
 * @param fit coefficient of determination; 1 is a perfect line
 */
record Slope(double base, double perUnit, double fit) {
  /** Fits a line; there must be at least two different sizes. */
  static Slope through(double[] sizes, double[] values) {
    double meanSize = mean(sizes);
    double meanValue = mean(values);
    double covariance = 0;
    double variance = 0;
    double spread = 0;
    for (int i = 0; i < sizes.length; i++) {
      covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
      variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
      spread += (values[i] - meanValue) * (values[i] - meanValue);
    }
    double perUnit = covariance / variance;
    double fit = spread == 0 ? 1 : covariance * covariance / (variance * spread);
    return new Slope(meanValue - perUnit * meanSize, perUnit, fit);
  }

  /** Returns the value of the line at a size. */
  double at(double size) {
    return base + perUnit * size;
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}

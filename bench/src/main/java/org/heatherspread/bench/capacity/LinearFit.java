package org.heatherspread.bench.capacity;

/**
 * A line fitted by least squares through measured points. Immutable.
 *
 * @param base value at size 0
 * @param perUnit growth with each unit of size
 * @param fit coefficient of determination; 1 is a perfect line
 */
record LinearFit(double intercept, double slope, double coefficientOfDetermination) {
  /** Fits a line; there must be at least two different sizes. */
  static LinearFit fit(double[] sizes, double[] values) {
    double meanSize = mean(sizes);
    double meanValue = mean(values);
    double covariance = 0;
    double sizeVariance = 0;
    double valueVariance = 0;
    for (int i = 0; i < sizes.length; i++) {
      covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
      sizeVariance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
      valueVariance += (values[i] - meanValue) * (values[i] - meanValue);
    }
    double slope = covariance / sizeVariance;
    double coefficientOfDetermination =
        valueVariance == 0 ? 1 : covariance * covariance / (sizeVariance * valueVariance);
    return new LinearFit(meanValue - slope * meanSize, slope, coefficientOfDetermination);
  }

  /** Returns the value of the line at a size. */
  double valueAt(double size) {
    return intercept + slope * size;
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}

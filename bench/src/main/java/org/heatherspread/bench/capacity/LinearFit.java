package org.heatherspread.bench.capacity;

/**
 * A least-squares line through measured points. Immutable.
 *
 * @param intercept value at size 0
 * @param slope increase of the value per unit of size
 * @param coefficientOfDetermination coefficient of determination; 1 if all points lie on the line
 */
record LinearFit(double intercept, double slope, double coefficientOfDetermination) {
  /** Fits a line; at least two sizes must differ. */
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

  /** Returns the value of the line at the given size. */
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

package org.heatherspread.core.placement;

/**
 * A positive number that follows a quantile of observed values by steps of its logarithm. Confined
 * to one thread.
 */
final class QuantileScale {
  /** Bounds of the value. */
  static final double MIN_SCALE = 1.0 / 32;

  static final double MAX_SCALE = 32;

  /** First step, which decreases with the number of samples to the last one. */
  private static final double FIRST_STEP = 0.4;

  private static final double LAST_STEP = 0.015;

  private final double quantile;
  private double value = 1;
  private long samples;

  private QuantileScale(double quantile) {
    this.quantile = quantile;
  }

  /** Creates a scale of 1 without samples. */
  static QuantileScale create(double quantile) {
    return new QuantileScale(quantile);
  }

  double value() {
    return value;
  }

  long samples() {
    return samples;
  }

  void record(double observed) {
    samples++;
    double step = Math.max(LAST_STEP, FIRST_STEP / Math.sqrt(samples));
    double direction = observed > value ? quantile : quantile - 1;
    double next = value * Math.exp(2 * step * direction);
    value = Math.min(MAX_SCALE, Math.max(MIN_SCALE, next));
  }

  void set(double scale, long count) {
    value = scale;
    samples = count;
  }
}

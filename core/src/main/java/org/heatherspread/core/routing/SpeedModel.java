package org.heatherspread.core.routing;

/**
 * Estimates the speed of endpoints of one machine class from their reports: the prefill throughput,
 * and the interval between answer tokens as a linear function of the batch size, fitted by least
 * squares with exponential forgetting.
 *
 * <p>Thread-safe; reads take no lock. Invariant: throughput, intercept and slope are never
 * negative.
 */
public final class SpeedModel {
  private static final double DECAY_FACTOR = 0.995;
  private static final double SMOOTHING = 0.05;
  private static final double MIN_VARIANCE = 0.5;

  private boolean prefillKnown;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private volatile double prefillTokensPerMilli;
  private volatile double intercept;
  private volatile double slope;

  private SpeedModel(double prefillTokensPerSecond, double intercept, double slope) {
    this.prefillTokensPerMilli = prefillTokensPerSecond / 1_000;
    this.intercept = intercept;
    this.slope = slope;
  }

  /**
   * Creates a model with initial estimates.
   *
   * @param prefillTokensPerSecond prefill throughput
   * @param baseMillis interval between tokens, extrapolated to an empty batch
   * @param slopeMillis additional interval for each request in the batch
   */
  public static SpeedModel withEstimates(
      double prefillTokensPerSecond, double baseMillis, double slopeMillis) {
    return new SpeedModel(prefillTokensPerSecond, baseMillis, slopeMillis);
  }

  /**
   * Returns a model for a machine class without reports. Its estimates are optimistic, because a
   * class that appears too slow for the target would never be tried.
   */
  public static SpeedModel withDefaults() {
    return withEstimates(20_000, 10, 0.1);
  }

  /** Returns the expected time to compute prompt tokens. */
  public double prefillMillis(double tokens) {
    return tokens / prefillTokensPerMilli;
  }

  /** Returns the expected interval between tokens for a batch size. */
  public double intervalMillis(double running) {
    return intercept + slope * running;
  }

  /** Updates the estimates from an endpoint's report. */
  public synchronized void update(LoadReport report) {
    if (report.prefillTokensPerSecond() > 0) {
      double observed = report.prefillTokensPerSecond() / 1_000;
      double smoothing = prefillKnown ? SMOOTHING : 1;
      prefillTokensPerMilli += smoothing * (observed - prefillTokensPerMilli);
      prefillKnown = true;
    }
    if (report.decodeTokensPerSecond() > 0 && report.running() > 0) {
      updateInterval(report.running(), 1_000.0 * report.running() / report.decodeTokensPerSecond());
    }
  }

  private void updateInterval(double running, double intervalMillis) {
    weight = weight * DECAY_FACTOR + 1;
    sumX = sumX * DECAY_FACTOR + running;
    sumY = sumY * DECAY_FACTOR + intervalMillis;
    sumXx = sumXx * DECAY_FACTOR + running * running;
    sumXy = sumXy * DECAY_FACTOR + running * intervalMillis;
    double meanX = sumX / weight;
    double meanY = sumY / weight;
    double variance = sumXx / weight - meanX * meanX;
    if (variance < MIN_VARIANCE) {
      intercept = Math.max(0, meanY - slope * meanX);
      return;
    }
    slope = Math.max(0, (sumXy / weight - meanX * meanY) / variance);
    intercept = Math.max(0, meanY - slope * meanX);
  }
}

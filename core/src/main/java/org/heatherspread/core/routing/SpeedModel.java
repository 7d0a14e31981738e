package org.heatherspread.core.routing;

/**
 * Learns how fast endpoints of one machine class are: prompt tokens a second, and the interval
 * between answer tokens as a line over the size of the batch, by least squares with forgetting.
 *
 * <p>Safe for use by any thread; reads take no lock. Invariant: the speed and the line's intercept
 * and slope are never negative.
 */
public final class SpeedModel {
  private static final double FORGET = 0.995;
  private static final double SMOOTHING = 0.05;
  private static final double MIN_SPREAD = 0.5;

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
   * Creates a model with first guesses.
   *
   * @param prefillTokensPerSecond speed of prefill
   * @param baseMillis interval between tokens of a request that is alone in the batch
   * @param slopeMillis what each further request in the batch adds
   */
  public static SpeedModel withEstimates(
      double prefillTokensPerSecond, double baseMillis, double slopeMillis) {
    return new SpeedModel(prefillTokensPerSecond, baseMillis, slopeMillis);
  }

  /**
   * Returns the guesses for a machine class that nothing is known of. They are hopeful, since a
   * class that seems too slow for the target would never be tried.
   */
  public static SpeedModel withDefaults() {
    return withEstimates(20_000, 10, 0.1);
  }

  /** Returns the expected time to compute prompt tokens. */
  public double prefillMillis(double tokens) {
    return tokens / prefillTokensPerMilli;
  }

  /** Returns the expected interval between tokens in a batch. */
  public double intervalMillis(double running) {
    return intercept + slope * running;
  }

  /** Learns from an endpoint's report. */
  public synchronized void update(LoadReport report) {
    if (report.prefillTokensPerSecond() > 0) {
      double seen = report.prefillTokensPerSecond() / 1_000;
      double step = prefillKnown ? SMOOTHING : 1;
      prefillTokensPerMilli += step * (seen - prefillTokensPerMilli);
      prefillKnown = true;
    }
    if (report.decodeTokensPerSecond() > 0 && report.running() > 0) {
      learnInterval(report.running(), 1_000.0 * report.running() / report.decodeTokensPerSecond());
    }
  }

  private void learnInterval(double running, double millis) {
    weight = weight * FORGET + 1;
    sumX = sumX * FORGET + running;
    sumY = sumY * FORGET + millis;
    sumXx = sumXx * FORGET + running * running;
    sumXy = sumXy * FORGET + running * millis;
    double meanX = sumX / weight;
    double meanY = sumY / weight;
    double spread = sumXx / weight - meanX * meanX;
    if (spread < MIN_SPREAD) {
      intercept = Math.max(0, meanY - slope * meanX);
      return;
    }
    slope = Math.max(0, (sumXy / weight - meanX * meanY) / spread);
    intercept = Math.max(0, meanY - slope * meanX);
  }
}

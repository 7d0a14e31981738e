package org.heatherspread.core.routing;

import java.time.Duration;

/**
 * Configures the ejection and readmission of endpoints. Immutable.
 *
 * @param consecutiveFailures consecutive failures that eject an endpoint
 * @param slowRatio moving average of observed over expected time to the first token that ejects an
 *     endpoint
 * @param slowSamples answers needed before an endpoint can be ejected as slow
 * @param initialPause duration of the first ejection; doubles with each further one
 * @param maxPause upper bound of the pause
 * @param rampUp time in which a readmitted endpoint returns to its full share of requests
 * @param maxEjectedShare largest share of a service's endpoints that may stay ejected, 0 to 1
 */
public record HealthPolicy(
    int consecutiveFailures,
    double slowRatio,
    int slowSamples,
    Duration initialPause,
    Duration maxPause,
    Duration rampUp,
    double maxEjectedShare) {

  /** Returns the policy used if the settings contain none. */
  public static HealthPolicy defaults() {
    return new HealthPolicy(
        3, 5.0, 20, Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofSeconds(10), 0.5);
  }

  /**
   * Returns this policy with short pauses, for endpoints that fail for moments only. An endpoint
   * that stops and starts again every 1.4 s is then in use about a second after each start.
   */
  public HealthPolicy withShortPauses() {
    return new HealthPolicy(
        Math.min(2, consecutiveFailures),
        slowRatio,
        slowSamples,
        Duration.ofMillis(300),
        Duration.ofMillis(600),
        rampUp,
        maxEjectedShare);
  }
}

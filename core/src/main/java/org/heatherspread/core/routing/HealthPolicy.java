package org.heatherspread.core.routing;

import java.time.Duration;

/**
 * When an endpoint is ejected and how it returns. Immutable.
 *
 * @param consecutiveFailures consecutive failures that eject
 * @param slowRatio moving average of observed over expected time to the first token that ejects
 * @param slowSamples answers needed before an endpoint can be called slow
 * @param initialPause length of the first ejection; doubles with each further one
 * @param maxPause bound of the pause
 * @param rampUp time over which a returned endpoint comes back to its full share
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

  /** Returns the policy used when the settings give none. */
  public static HealthPolicy defaults() {
    return new HealthPolicy(
        3, 5.0, 20, Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofSeconds(10), 0.5);
  }
}

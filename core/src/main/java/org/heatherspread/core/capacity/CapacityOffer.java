package org.heatherspread.core.capacity;

/**
 * A capacity pool with the price and the performance of its instances. Immutable.
 *
 * @param pool pool that the instances are bought from
 * @param pricePerHour price of one instance, in the deployment's currency
 * @param requestsPerSecond rate at which one instance answers within the latency target
 * @param reclaimsPerHour measured reclaims per instance and hour
 * @param startSeconds time from the order until the instance serves, including loading from the
 *     weight store
 */
public record CapacityOffer(
    CapacityPool pool,
    double pricePerHour,
    double requestsPerSecond,
    double reclaimsPerHour,
    double startSeconds) {
  private static final double SECONDS_PER_HOUR = 3_600;
  private static final double MAX_UNAVAILABILITY = 0.9;

  /** Returns the hourly price per request per second, adjusted for {@link #availability()}. */
  public double effectivePrice() {
    return pricePerHour / (requestsPerSecond * availability());
  }

  /** Returns the share of time in which an instance serves, given its reclaims and restarts. */
  public double availability() {
    return 1 - Math.min(MAX_UNAVAILABILITY, reclaimsPerHour * startSeconds / SECONDS_PER_HOUR);
  }
}

package org.heatherspread.core.capacity;

/**
 * A machine with what it costs and gives. Immutable.
 *
 * @param pool what is bought
 * @param pricePerHour price in the deployment's currency
 * @param requestsPerSecond requests that it answers within the latency target
 * @param reclaimsPerHour measured reclaims of one instance an hour
 * @param startSeconds from order to service, loading from the weight store included
 */
public record CapacityOffer(
    CapacityPool pool,
    double pricePerHour,
    double requestsPerSecond,
    double reclaimsPerHour,
    double startSeconds) {
  private static final double SECONDS_PER_HOUR = 3_600;
  private static final double MOST_LOST = 0.9;

  /** Returns the price of a request a second on average, reclaims and restarts included. */
  public double effectivePrice() {
    return pricePerHour / (requestsPerSecond * availability());
  }

  /** Returns the share of the time in which the machine serves, given reclaims and restarts. */
  public double availability() {
    return 1 - Math.min(MOST_LOST, reclaimsPerHour * startSeconds / SECONDS_PER_HOUR);
  }
}

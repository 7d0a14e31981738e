package org.heatherspread.core.capacity;

import java.time.Duration;

/**
 * Limits within which {@link CapacityPlanner} may change the fleet of a service without further
 * confirmation by an operator. Immutable.
 *
 * @param minInstances minimum number of instances of the service
 * @param maxInstances maximum number of instances of the service
 * @param maxPricePerHour maximum price of the whole fleet per hour
 * @param minOnDemandShare minimum share of the demand, 0 to 1, that on-demand instances must cover
 * @param surplusShare capacity kept beyond the demand, as a share of it, before instances are
 *     released
 * @param scaleInDelay time for which capacity must be in surplus before it is released
 * @param maxStartsPerRound maximum number of concurrent starts; limited by the bandwidth of the
 *     weight store
 * @param refusalBackoff delay before a pool that refused a start is tried again; doubles with each
 *     further refusal
 */
public record CapacityBounds(
    int minInstances,
    int maxInstances,
    double maxPricePerHour,
    double minOnDemandShare,
    double surplusShare,
    Duration scaleInDelay,
    int maxStartsPerRound,
    Duration refusalBackoff) {

  /** Creates bounds with the given limits and default values for the rest. */
  public static CapacityBounds of(int minInstances, int maxInstances, double maxPricePerHour) {
    return new CapacityBounds(
        minInstances,
        maxInstances,
        maxPricePerHour,
        0.2,
        0.15,
        Duration.ofMinutes(10),
        4,
        Duration.ofSeconds(30));
  }
}

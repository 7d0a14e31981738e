package org.heatherspread.core.capacity;

import java.time.Duration;

/**
 * What an operator confirmed that the planner may do by itself. Immutable.
 *
 * @param minInstances minInstances instances of the service
 * @param maxInstances most instances of the service
 * @param maxPricePerHour most that the fleet may cost an hour
 * @param minOnDemandShare least share of the target that on-demand instances carry, 0 to 1
 * @param surplusShare share of the target that may be held beyond it before instances are given
 *     back
 * @param scaleInDelay how long capacity must have been unneeded before it is given back
 * @param maxStartsPerRound most starts ordered at once, by the rate of the weight store
 * @param refusalBackoff how long a refused machine is left out; doubles with each further refusal
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

  /** Returns bounds that allow nothing but what is asked for. */
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

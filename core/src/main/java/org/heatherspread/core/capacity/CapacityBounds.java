package org.heatherspread.core.capacity;

import java.time.Duration;

/**
 * What an operator confirmed that the planner may do by itself. Immutable.
 *
 * @param fewest fewest instances of the service
 * @param most most instances of the service
 * @param mostPricePerHour most that the fleet may cost an hour
 * @param onDemandShare least share of the target that on-demand instances carry, 0 to 1
 * @param slack share of the target that may be held beyond it before instances are given back
 * @param shrinkAfter how long capacity must have been unneeded before it is given back
 * @param startsPerRound most starts ordered at once, by the rate of the weight store
 * @param refusalPause how long a refused machine is left out; doubles with each further refusal
 */
public record CapacityBounds(
    int fewest,
    int most,
    double mostPricePerHour,
    double onDemandShare,
    double slack,
    Duration shrinkAfter,
    int startsPerRound,
    Duration refusalPause) {

  /** Returns bounds that allow nothing but what is asked for. */
  public static CapacityBounds of(int fewest, int most, double mostPricePerHour) {
    return new CapacityBounds(
        fewest,
        most,
        mostPricePerHour,
        0.2,
        0.15,
        Duration.ofMinutes(10),
        4,
        Duration.ofSeconds(30));
  }
}

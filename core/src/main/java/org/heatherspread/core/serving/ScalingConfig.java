package org.heatherspread.core.serving;

import java.util.Map;

/**
 * Autoscaling parameters of a service. Immutable.
 *
 * @param minimum minimum number of endpoints per failure domain, reclaimable and on-demand together
 * @param maximum maximum number of endpoints per failure domain, reclaimable and on-demand together
 * @param startupMillis time from an order until the endpoint serves
 * @param reclaimablePriceRatio price of a reclaimable endpoint relative to an on-demand one; 1 if
 *     the platform sells no reclaimable capacity
 * @param onDemandPrices price of an on-demand endpoint by failure domain
 */
public record ScalingConfig(
    int minimum,
    int maximum,
    long startupMillis,
    double reclaimablePriceRatio,
    Map<String, Double> onDemandPrices) {
  /** Copies the prices, so that the record is immutable. */
  public ScalingConfig {
    onDemandPrices = Map.copyOf(onDemandPrices);
  }
}

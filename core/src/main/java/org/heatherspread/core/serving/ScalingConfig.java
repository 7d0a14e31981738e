package org.heatherspread.core.serving;

import java.util.Map;

/**
 * The bounds within which endpoints of a service are ordered.
 *
 * @param minimum fewest endpoints in a failure domain, of both kinds together
 * @param maximum most endpoints in a failure domain, of both kinds together
 * @param startupMillis time from an order to a serving endpoint
 * @param reclaimablePriceRatio price of a reclaimable endpoint as a share of a lasting one's
 * @param onDemandPrices price of a lasting endpoint for each failure domain
 */
public record ScalingConfig(
    int minimum,
    int maximum,
    long startupMillis,
    double reclaimablePriceRatio,
    Map<String, Double> onDemandPrices) {
  /** Copies the prices. */
  public ScalingConfig {
    onDemandPrices = Map.copyOf(onDemandPrices);
  }
}

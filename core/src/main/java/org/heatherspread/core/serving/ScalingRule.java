package org.heatherspread.core.serving;

import java.util.Map;

/**
 * The bounds within which endpoints of a service are ordered.
 *
 * @param minimum fewest endpoints in a failure domain, of both kinds together
 * @param maximum most endpoints in a failure domain, of both kinds together
 * @param bootMillis time from an order to a serving endpoint
 * @param reclaimablePrice price of a reclaimable endpoint as a share of a lasting one's
 * @param domainPrices price of a lasting endpoint for each failure domain
 */
public record ScalingRule(
    int minimum,
    int maximum,
    long bootMillis,
    double reclaimablePrice,
    Map<String, Double> domainPrices) {
  /** Copies the prices. */
  public ScalingRule {
    domainPrices = Map.copyOf(domainPrices);
  }
}

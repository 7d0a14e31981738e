package org.heatherspread.core.limit;

/**
 * The requests per second that one incarnation of an endpoint takes from all daemons together.
 * Immutable; sent to other daemons as JSON under the names of its components.
 *
 * @param endpoint id of the endpoint
 * @param startedAtMillis start time of the incarnation in milliseconds since the epoch
 * @param ratePerSecond requests per second, positive
 */
public record EndpointLimit(String endpoint, long startedAtMillis, double ratePerSecond)
    implements RateLimit {
  @Override
  public String name() {
    return endpoint + '@' + startedAtMillis;
  }

  @Override
  public double burst() {
    return 0;
  }

  @Override
  public boolean mayOverdraw() {
    return false;
  }
}

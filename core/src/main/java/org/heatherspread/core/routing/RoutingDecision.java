package org.heatherspread.core.routing;

/**
 * Where a request should go. Immutable.
 *
 * @param endpoint the endpoint chosen
 * @param cachedTokens prompt tokens that it is believed to hold
 * @param uncachedTokens prompt tokens that it has to compute
 * @param expectedFirstTokenMillis expected time to the first token
 * @param expectedIntervalMillis expected time between tokens
 * @param meetsTarget whether both are expected within the latency target
 */
public record RoutingDecision(
    EndpointView endpoint,
    int cachedTokens,
    int uncachedTokens,
    double expectedFirstTokenMillis,
    double expectedIntervalMillis,
    boolean meetsTarget) {

  /** Notes the dispatch to the endpoint chosen. */
  public Dispatch dispatch(long nowMillis) {
    return endpoint.dispatch(uncachedTokens, expectedFirstTokenMillis, nowMillis);
  }
}

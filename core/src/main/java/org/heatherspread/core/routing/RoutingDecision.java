package org.heatherspread.core.routing;

/**
 * The endpoint chosen for a request, with its expected latency. Immutable.
 *
 * @param endpoint the chosen endpoint
 * @param cachedTokens prompt tokens that the endpoint is expected to hold
 * @param uncachedTokens prompt tokens that the endpoint has to compute
 * @param expectedFirstTokenMillis expected time to the first token
 * @param expectedIntervalMillis expected time between tokens
 * @param meetsTarget whether both are expected to be within the latency target
 */
public record RoutingDecision(
    EndpointView endpoint,
    int cachedTokens,
    int uncachedTokens,
    double expectedFirstTokenMillis,
    double expectedIntervalMillis,
    boolean meetsTarget) {

  /** Records the dispatch of the request to the chosen endpoint. */
  public Dispatch dispatch(long nowMillis) {
    return endpoint.dispatch(uncachedTokens, expectedFirstTokenMillis, nowMillis);
  }
}

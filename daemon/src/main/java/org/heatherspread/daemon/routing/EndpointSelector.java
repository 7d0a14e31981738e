package org.heatherspread.daemon.routing;

/**
 * Chooses the endpoint for each attempt.
 *
 * <p>Implementations are safe for use by any thread and do not block.
 */
@FunctionalInterface
public interface EndpointSelector {
  /**
   * Chooses an endpoint.
   *
   * @throws org.heatherspread.core.error.ServingException with {@code NO_ENDPOINT}, {@code
   *     DEADLINE_UNREACHABLE} or {@code OVERLOADED} and the time to come back
   */
  Selection select(RouteRequest request);
}

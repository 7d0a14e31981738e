package org.heatherspread.daemon.routing;

/**
 * Selects an endpoint for each attempt of a request.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface EndpointSelector {
  /**
   * Selects an endpoint.
   *
   * @throws org.heatherspread.core.error.ServingException with {@code NO_ENDPOINT}, {@code
   *     DEADLINE_UNREACHABLE} or {@code OVERLOADED}, and the time after which to retry
   */
  Selection select(SelectionRequest request);
}

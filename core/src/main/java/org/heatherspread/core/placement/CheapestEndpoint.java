package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The lowest-cost endpoint among those that accept new requests. Endpoints ejected for failures are
 * used only if no other is available. Immutable.
 */
record CheapestEndpoint(TrackedEndpoint endpoint, double cost) {
  /**
   * Finds the lowest-cost endpoint.
   *
   * @param excluded ids of endpoints that the request must not be sent to
   * @return empty if no endpoint can take the request
   */
  static Optional<CheapestEndpoint> find(
      List<TrackedEndpoint> endpoints,
      Set<String> excluded,
      long nowMillis,
      ToDoubleFunction<TrackedEndpoint> cost) {
    Optional<CheapestEndpoint> healthy = find(endpoints, excluded, nowMillis, cost, false);
    return healthy.isPresent() ? healthy : find(endpoints, excluded, nowMillis, cost, true);
  }

  private static Optional<CheapestEndpoint> find(
      List<TrackedEndpoint> endpoints,
      Set<String> excluded,
      long nowMillis,
      ToDoubleFunction<TrackedEndpoint> cost,
      boolean includeEjected) {
    TrackedEndpoint best = null;
    double bestCost = Double.MAX_VALUE;
    for (TrackedEndpoint endpoint : endpoints) {
      if (!endpoint.acceptsRequests(nowMillis) || excluded.contains(endpoint.id())) {
        continue;
      }
      if (!includeEjected && !endpoint.health().admits(nowMillis)) {
        continue;
      }
      double candidateCost = cost.applyAsDouble(endpoint);
      if (candidateCost < bestCost) {
        bestCost = candidateCost;
        best = endpoint;
      }
    }
    return best == null ? Optional.empty() : Optional.of(new CheapestEndpoint(best, bestCost));
  }
}

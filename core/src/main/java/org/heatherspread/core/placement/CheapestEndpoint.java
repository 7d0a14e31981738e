package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The endpoint of least cost among those that take work; one that is ejected for failures only
 * where no other is left. Immutable.
 */
record CheapestEndpoint(TrackedEndpoint endpoint, double cost) {
  /**
   * Finds it.
   *
   * @param excluded identities that the request may not go to
   * @return empty where none may take it
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
      boolean anyHealth) {
    TrackedEndpoint best = null;
    double bestCost = Double.MAX_VALUE;
    for (TrackedEndpoint endpoint : endpoints) {
      if (!endpoint.isUsable(nowMillis) || excluded.contains(endpoint.id())) {
        continue;
      }
      if (!anyHealth && !endpoint.health().admits(nowMillis)) {
        continue;
      }
      double next = cost.applyAsDouble(endpoint);
      if (next < bestCost) {
        bestCost = next;
        best = endpoint;
      }
    }
    return best == null ? Optional.empty() : Optional.of(new CheapestEndpoint(best, bestCost));
  }
}

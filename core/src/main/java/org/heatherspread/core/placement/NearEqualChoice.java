package org.heatherspread.core.placement;

import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses between two endpoints picked at random among those whose costs differ little from the
 * lowest one. Daemons with the same stale view would otherwise all select the same endpoint.
 * Endpoints ejected for failures are used only if no other is available. Confined to one thread;
 * allocates nothing for a choice.
 */
final class NearEqualChoice {
  private final double nearShare;
  private final double nearMillis;
  private double[] costs = new double[16];

  private NearEqualChoice(double nearShare, double nearMillis) {
    this.nearShare = nearShare;
    this.nearMillis = nearMillis;
  }

  /**
   * Creates a choice.
   *
   * @param nearShare relative difference of costs that is within the error of their estimates
   * @param nearMillis absolute difference of costs that is within the error of their estimates
   */
  static NearEqualChoice create(double nearShare, double nearMillis) {
    return new NearEqualChoice(nearShare, nearMillis);
  }

  /** Returns an endpoint, null if none can take the request. */
  TrackedEndpoint choose(
      List<TrackedEndpoint> endpoints,
      Set<String> excluded,
      long nowMillis,
      ToDoubleFunction<TrackedEndpoint> cost,
      RandomGenerator random) {
    if (costs.length < endpoints.size()) {
      costs = new double[2 * endpoints.size()];
    }
    double lowest = computeCosts(endpoints, excluded, nowMillis, cost, false);
    if (lowest == Double.MAX_VALUE) {
      lowest = computeCosts(endpoints, excluded, nowMillis, cost, true);
    }
    if (lowest == Double.MAX_VALUE) {
      return null;
    }
    double bound = lowest * (1 + nearShare) + nearMillis;
    int near = 0;
    for (int i = 0; i < endpoints.size(); i++) {
      near += costs[i] <= bound ? 1 : 0;
    }
    int one = indexOfNear(random.nextInt(near), bound);
    int other = indexOfNear(random.nextInt(near), bound);
    return endpoints.get(costs[one] <= costs[other] ? one : other);
  }

  private int indexOfNear(int number, double bound) {
    int index = -1;
    for (int seen = -1; seen < number; ) {
      index++;
      seen += costs[index] <= bound ? 1 : 0;
    }
    return index;
  }

  private double computeCosts(
      List<TrackedEndpoint> endpoints,
      Set<String> excluded,
      long nowMillis,
      ToDoubleFunction<TrackedEndpoint> cost,
      boolean includeEjected) {
    double lowest = Double.MAX_VALUE;
    for (int i = 0; i < endpoints.size(); i++) {
      TrackedEndpoint endpoint = endpoints.get(i);
      boolean available =
          endpoint.acceptsRequests(nowMillis)
              && !excluded.contains(endpoint.id())
              && (includeEjected || endpoint.health().admits(nowMillis));
      costs[i] = available ? cost.applyAsDouble(endpoint) : Double.MAX_VALUE;
      lowest = Math.min(lowest, costs[i]);
    }
    return lowest;
  }
}

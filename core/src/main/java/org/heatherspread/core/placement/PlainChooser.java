package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Places a request of a plain service on the endpoint with the fewest requests for each slot.
 *
 * <p>Answers the load in which single endpoints turn slow or fail: an ejected endpoint is used only
 * where no other is left. Stateless.
 */
public final class PlainChooser implements EndpointChooser {
  private static final double JITTER = 0.5;

  /** Expected time of a request until its endpoint's slowness is known, in milliseconds. */
  private static final double TYPICAL_MILLIS = 30;

  private PlainChooser() {}

  /** Creates a chooser. */
  public static PlainChooser create() {
    return new PlainChooser();
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    Optional<Choice> healthy = least(endpoints, excluded, nowMillis, random, false);
    return healthy.isPresent() ? healthy : least(endpoints, excluded, nowMillis, random, true);
  }

  private static Optional<Choice> least(
      List<TrackedEndpoint> endpoints,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random,
      boolean anyHealth) {
    TrackedEndpoint best = null;
    double bestCost = Double.MAX_VALUE;
    for (TrackedEndpoint endpoint : endpoints) {
      if (!endpoint.usable(nowMillis) || excluded.contains(endpoint.id())) {
        continue;
      }
      if (!anyHealth && !endpoint.health().admits(nowMillis)) {
        continue;
      }
      int slots = Math.max(1, endpoint.registration().slots());
      double busy = (endpoint.load().running() + JITTER * random.nextDouble()) / slots;
      double cost = (1 + busy) * endpoint.slowness();
      if (cost < bestCost) {
        bestCost = cost;
        best = endpoint;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    return Optional.of(new Choice(best, TYPICAL_MILLIS * bestCost, TYPICAL_MILLIS * bestCost));
  }
}

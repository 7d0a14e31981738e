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
public final class PlainServiceChooser implements EndpointChooser {
  private static final double JITTER = 0.5;

  /** Expected time of a request until its endpoint's slowness is known, in milliseconds. */
  private static final double TYPICAL_MILLIS = 30;

  private PlainServiceChooser() {}

  /** Creates a chooser. */
  public static PlainServiceChooser create() {
    return new PlainServiceChooser();
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    return CheapestEndpoint.find(endpoints, excluded, nowMillis, each -> cost(each, random))
        .map(found -> choice(found.endpoint(), TYPICAL_MILLIS * found.cost()));
  }

  private static double cost(TrackedEndpoint endpoint, RandomGenerator random) {
    int slots = Math.max(1, endpoint.registration().slots());
    double busy = (endpoint.load().running() + JITTER * random.nextDouble()) / slots;
    return (1 + busy) * endpoint.slowness();
  }

  private static Choice choice(TrackedEndpoint endpoint, double millis) {
    return new Choice(endpoint, millis, millis);
  }
}

package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Places a request of a plain service on the endpoint with the fewest requests per slot, weighted
 * by its slowness.
 *
 * <p>Single endpoints may become slow or fail; an ejected endpoint is used only if no other is
 * available. Stateless.
 */
public final class PlainServiceChooser implements EndpointChooser {
  private static final double LOAD_JITTER = 0.5;

  /** Expected duration of a request until its endpoint's slowness is known. */
  private static final double DEFAULT_REQUEST_MILLIS = 30;

  private PlainServiceChooser() {}

  /** Creates a chooser. */
  public static PlainServiceChooser create() {
    return new PlainServiceChooser();
  }

  /** Returns the slots of endpoints that accept requests that are free by the expected load. */
  public static int freeSlots(
      List<TrackedEndpoint> endpoints, PlainRequestTime time, long nowMillis) {
    double free = 0;
    for (TrackedEndpoint endpoint : endpoints) {
      if (endpoint.acceptsRequests(nowMillis) && endpoint.health().admits(nowMillis)) {
        double running = endpoint.expectedRunning(nowMillis, time.millis());
        free += Math.max(0, endpoint.registration().slots() - running);
      }
    }
    return (int) free;
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    return CheapestEndpoint.find(endpoints, excluded, nowMillis, each -> cost(each, random))
        .map(found -> choice(found, nowMillis));
  }

  private Choice choice(CheapestEndpoint found, long nowMillis) {
    double millis = DEFAULT_REQUEST_MILLIS * found.cost();
    double wait = Math.min(millis, waitMillis(found.endpoint(), nowMillis));
    return new Choice(found.endpoint(), millis, millis, wait);
  }

  @Override
  public double waitMillis(TrackedEndpoint endpoint, long nowMillis) {
    int slots = Math.max(1, endpoint.registration().slots());
    int waiting = Math.max(0, endpoint.load().running() - slots + 1);
    return DEFAULT_REQUEST_MILLIS * endpoint.slowness() * waiting / slots;
  }

  private static double cost(TrackedEndpoint endpoint, RandomGenerator random) {
    int slots = Math.max(1, endpoint.registration().slots());
    double slotUse = (endpoint.load().running() + LOAD_JITTER * random.nextDouble()) / slots;
    return (1 + slotUse) * endpoint.slowness();
  }
}

package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Places a request of a plain service whose endpoints differ in speed, by the measured time of the
 * service's requests, the slots in use, and the recent slowness and failures of each endpoint.
 * Confined to one thread.
 */
public final class UnevenPlainChooser implements EndpointChooser {
  /** Weight of busy slots: an endpoint with free slots may fill up before the request arrives. */
  private static final double USE_WEIGHT = 0.5;

  /** Difference of costs within the error of the known loads. */
  private static final double NEAR_MILLIS = 5;

  /** Relative difference of costs within the error of the known loads. */
  private static final double NEAR_SHARE = 0.25;

  private final PlainRequestTime time;
  private final NearEqualChoice nearEqual = NearEqualChoice.create(NEAR_SHARE, NEAR_MILLIS);

  private UnevenPlainChooser(PlainRequestTime time) {
    this.time = time;
  }

  /** Creates a chooser of a service with a measured request time. */
  public static UnevenPlainChooser create(PlainRequestTime time) {
    return new UnevenPlainChooser(time);
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    TrackedEndpoint chosen =
        nearEqual.choose(endpoints, excluded, nowMillis, each -> cost(each, nowMillis), random);
    return Optional.ofNullable(chosen).map(each -> choice(each, nowMillis));
  }

  private Choice choice(TrackedEndpoint endpoint, long nowMillis) {
    double base = expectedMillis(endpoint, nowMillis);
    double expected = base + endpoint.observedWaitMillis(nowMillis);
    return new Choice(
        endpoint, base, expected, Math.min(expected, waitMillis(endpoint, nowMillis)));
  }

  @Override
  public double waitMillis(TrackedEndpoint endpoint, long nowMillis) {
    int slots = Math.max(1, endpoint.registration().slots());
    double waiting = Math.max(0, endpoint.expectedRunning(nowMillis, time.millis()) - slots + 1);
    return time.millis() * waiting / slots * endpoint.recentSlowness(nowMillis)
        + endpoint.observedWaitMillis(nowMillis);
  }

  private double expectedMillis(TrackedEndpoint endpoint, long nowMillis) {
    double running = endpoint.expectedRunning(nowMillis, time.millis());
    return time.millis(running, endpoint.registration().slots())
        * endpoint.recentSlowness(nowMillis);
  }

  private double cost(TrackedEndpoint endpoint, long nowMillis) {
    int slots = Math.max(1, endpoint.registration().slots());
    double use = endpoint.expectedRunning(nowMillis, time.millis()) / slots;
    return expectedMillis(endpoint, nowMillis) * (1 + USE_WEIGHT * use)
        + UnevenEngineChooser.FAILURE_MILLIS * endpoint.failureShare(nowMillis)
        + endpoint.observedWaitMillis(nowMillis);
  }
}

package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint for a request.
 *
 * <p>Implementations are stateless and confined to the thread of the {@link EndpointTable}.
 */
public interface EndpointChooser {
  /**
   * Chooses among the endpoints of one service.
   *
   * @param excluded ids of endpoints that the request must not be sent to
   * @return empty if no endpoint can take the request
   */
  Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random);

  /**
   * Returns the time by which other requests at an endpoint delay a new one: their prefill, the
   * wait for a slot, and the waits observed recently.
   */
  double waitMillis(TrackedEndpoint endpoint, long nowMillis);

  /**
   * A chosen endpoint with its expected latency.
   *
   * @param baseMillis expected time to the answer or its first event, based on the known load
   * @param expectedMillis {@code baseMillis} plus the waits observed recently
   * @param waitMillis part of {@code expectedMillis} that other requests cause
   */
  record Choice(
      TrackedEndpoint endpoint, double baseMillis, double expectedMillis, double waitMillis) {
    /** Returns the part of the expected time that the request itself causes. */
    public double ownMillis() {
      return Math.max(0, expectedMillis - waitMillis);
    }
  }
}

package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint that runs a request.
 *
 * <p>Implementations keep no state of their own and are confined to the thread of the table.
 */
public interface EndpointChooser {
  /**
   * Chooses among endpoints of one service.
   *
   * @param excluded identities that the request may not go to
   * @return empty where none may take it
   */
  Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random);

  /**
   * A chosen endpoint.
   *
   * @param expectedMillis expected time to the answer or its first event
   */
  record Choice(TrackedEndpoint endpoint, double expectedMillis) {}
}

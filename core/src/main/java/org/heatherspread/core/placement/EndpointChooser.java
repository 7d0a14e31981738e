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
   * @param baseMillis time to the answer or its first event by what is known to be waiting there
   * @param expectedMillis the same with the waits that were seen a moment ago
   */
  record Choice(TrackedEndpoint endpoint, double baseMillis, double expectedMillis) {}
}

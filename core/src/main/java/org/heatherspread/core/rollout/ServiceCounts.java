package org.heatherspread.core.rollout;

import java.util.List;
import java.util.Objects;

/**
 * Counts of one process for a service since an order. Immutable; sent as JSON under the names of
 * its components.
 *
 * @param process random number of the process
 * @param orderId identity of the order
 * @param routes counts by version and route
 */
public record ServiceCounts(
    String service, String process, String orderId, List<RouteCounts> routes) {
  /** Checks the names and copies the list. */
  public ServiceCounts {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(process, "process");
    Objects.requireNonNull(orderId, "orderId");
    routes = List.copyOf(routes);
  }

  long requests() {
    return routes.stream().mapToLong(RouteCounts::requests).sum();
  }

  long outcomes() {
    return routes.stream().mapToLong(each -> each.outcomes() + each.failures()).sum();
  }
}

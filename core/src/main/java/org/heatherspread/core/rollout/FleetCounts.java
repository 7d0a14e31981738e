package org.heatherspread.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest counts of all processes for the current order of each service. Invariant: the counts
 * of a process never decrease, so that they may arrive late and on several ways. Confined to one
 * thread.
 */
public final class FleetCounts {
  private final Map<String, Map<String, ServiceCounts>> byService = new HashMap<>();
  private final Map<String, String> orderIds = new HashMap<>();

  private FleetCounts() {}

  /** Creates an instance without counts. */
  public static FleetCounts create() {
    return new FleetCounts();
  }

  /** Keeps only the counts for an order from now on. */
  public void begin(String service, String orderId) {
    if (!orderId.equals(orderIds.put(service, orderId))) {
      byService.remove(service);
    }
  }

  /** Adds the counts of a process. */
  public void add(ServiceCounts counts) {
    if (!counts.orderId().equals(orderIds.get(counts.service()))) {
      return;
    }
    byService
        .computeIfAbsent(counts.service(), name -> new HashMap<>())
        .merge(
            counts.process(),
            counts,
            (known, next) ->
                next.requests() + next.outcomes() >= known.requests() + known.outcomes()
                    ? next
                    : known);
  }

  /** Returns the sum over all processes. */
  public List<RouteCounts> sum(String service) {
    Map<String, RouteCounts> sums = new HashMap<>();
    for (ServiceCounts counts : byService.getOrDefault(service, Map.of()).values()) {
      for (RouteCounts route : counts.routes()) {
        sums.merge(route.version() + '\n' + route.route(), route, RouteCounts::plus);
      }
    }
    return new ArrayList<>(sums.values());
  }
}

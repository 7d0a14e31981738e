package org.heatherspread.bench.routing;

import java.util.List;
import java.util.Random;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.EndpointView;

/**
 * Selects endpoints for the requests of one simulated daemon, based on the stale view of that
 * daemon. Not thread-safe.
 */
interface RoutingPolicy {
  /** Creates the policy of one daemon. */
  @FunctionalInterface
  interface Factory {
    /** Creates a policy over this daemon's views of the endpoints, ordered by slot. */
    RoutingPolicy create(List<EndpointView> views, Random random);
  }

  /** Dispatches a request and returns the dispatch, or null if the daemon rejects the request. */
  Dispatch route(SimulatedRequest request, double nowMillis);

  /** Handles cache events of an endpoint. The default implementation ignores them. */
  default void onCacheEvents(int endpointSlot, List<CacheEvent> events, double nowMillis) {}
}

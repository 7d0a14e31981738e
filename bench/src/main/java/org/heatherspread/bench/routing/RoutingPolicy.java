package org.heatherspread.bench.routing;

import java.util.List;
import java.util.Random;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.EndpointView;

/**
 * Where one modelled daemon sends its requests. Each daemon has its own, with its own stale view.
 * Not safe for use by several threads.
 */
interface RoutingPolicy {
  /** Makes the policy of one daemon. */
  @FunctionalInterface
  interface Factory {
    /** Makes the policy over this daemon's views of the endpoints, in order of their slots. */
    RoutingPolicy create(List<EndpointView> views, Random random);
  }

  /** Sends a request; null where the daemon rejects it early. */
  Dispatch route(SimulatedRequest request, double nowMillis);

  /** Takes in an endpoint's cache events. */
  default void onCacheEvents(int endpointSlot, List<CacheEvent> events, double nowMillis) {}
}

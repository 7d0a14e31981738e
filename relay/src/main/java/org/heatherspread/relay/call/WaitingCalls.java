package org.heatherspread.relay.call;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.heatherspread.core.placement.EndpointChooser;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.queue.QueuedRequest;
import org.heatherspread.core.serving.Feature;

/**
 * The calls that wait in this daemon while endpoints have no room, in one queue for each service.
 * Confined to the event loop.
 */
final class WaitingCalls {
  /**
   * Wait at an endpoint, relative to the shortest target of the service, beyond which it has no
   * room. The rest of the target is left for the wait here, where urgent requests come first, and
   * for the work of the request.
   */
  private static final double MAX_ENDPOINT_WAIT_SHARE = 1.0 / 3;

  private final RelayState state;
  private final Map<String, ServiceQueue> queues = new HashMap<>();

  private WaitingCalls(RelayState state) {
    this.state = state;
  }

  static WaitingCalls create(RelayState state) {
    return new WaitingCalls(state);
  }

  boolean isEnabled() {
    return state.hasFeature(Feature.QUEUEING);
  }

  /** Returns whether no call of a service waits. */
  boolean isEmpty(String service) {
    return size(service) == 0;
  }

  /** Returns the number of calls that wait for endpoints of a service. */
  int size(String service) {
    ServiceQueue queue = queues.get(service);
    return queue == null ? 0 : queue.size();
  }

  /** Queues a call, which is dispatched or rejected later or at once. */
  void offer(RelayCall call, QueuedRequest request) {
    queues
        .computeIfAbsent(call.context().service(), name -> ServiceQueue.create(state, name))
        .offer(call, request);
  }

  /** Removes a call that has ended, if it waits. */
  void remove(RelayCall call) {
    ServiceQueue queue = queues.get(call.context().service());
    if (queue != null) {
      queue.remove(call);
    }
  }

  /** Records that a request of this daemon no longer occupies an endpoint of a service. */
  void recordEnd(String service) {
    ServiceQueue queue = queues.get(service);
    if (queue != null) {
      queue.recordEnd();
      queue.scheduleDrain();
    }
  }

  /** Records that an endpoint of a service has prefilled a prompt of this daemon. */
  void recordFirstResponse(String service) {
    ServiceQueue queue = queues.get(service);
    if (queue != null) {
      queue.scheduleDrain();
    }
  }

  /** Returns the expected wait at an endpoint of a service beyond which it has no room. */
  double maxEndpointWaitMillis(String service) {
    OptionalInt shortest = state.shortestUrgentTargetMillis(service, Integer.MAX_VALUE);
    return shortest.isEmpty()
        ? Double.POSITIVE_INFINITY
        : MAX_ENDPOINT_WAIT_SHARE * shortest.getAsInt();
  }

  /**
   * Returns whether an endpoint has room: it has a free slot, and other requests do not delay a new
   * one too long. An endpoint without requests has room even if it rejected one a moment ago, as it
   * may have had another reason.
   */
  static boolean hasRoom(
      TrackedEndpoint endpoint, EndpointChooser chooser, double maxWaitMillis, long nowMillis) {
    int running = endpoint.load().running();
    return running < endpoint.registration().slots()
        && (running == 0 || chooser.waitMillis(endpoint, nowMillis) <= maxWaitMillis);
  }
}

package org.heatherspread.core.duty;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Client for the platform calls that one daemon at a time, the holder of the duty lease, makes on
 * behalf of the fleet. Each call carries the holder's name and the fencing token of its lease.
 * Futures fail in the same way as those of {@link org.heatherspread.core.store.TableStore}.
 */
public interface DutyClient {
  /** Reports the number of requests of each client account that started in a window. */
  CompletableFuture<Outcome> reportUsage(
      String holder, long fencing, long window, Map<String, Integer> counts);

  /** Orders the desired number of endpoints of a service in a failure domain. */
  CompletableFuture<Outcome> order(String holder, long fencing, EndpointOrder order);

  /**
   * Gives up the calls in progress, since another daemon may make calls from now on. Those that
   * have not arrived yet never do.
   */
  void abortCalls();

  /** Outcome of a call. */
  enum Outcome {
    /** Carried out. */
    DONE,
    /** The failure domain has no capacity at present. */
    NONE_AVAILABLE,
    /** Refused without effect; the call may be retried. */
    REFUSED
  }

  /**
   * Desired number of endpoints of a service in a failure domain.
   *
   * @param reclaimable whether the order concerns reclaimable endpoints, which are counted
   *     separately from on-demand ones
   */
  record EndpointOrder(String service, String domain, boolean reclaimable, int count) {}
}

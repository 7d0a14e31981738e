package org.heatherspread.core.duty;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Calls that one daemon at a time makes on behalf of all. Each carries the daemon's name and the
 * fencing number of its lease. Futures fail like those of a store.
 */
public interface DutyClient {
  /** Reports how many requests of each client account began to run in a window. */
  CompletableFuture<Outcome> reportUsage(
      String holder, long fencing, long window, Map<String, Integer> counts);

  /** Orders a number of endpoints of a service in a failure domain. */
  CompletableFuture<Outcome> order(String holder, long fencing, EndpointOrder order);

  /** What became of a call. */
  enum Outcome {
    /** Carried out. */
    DONE,
    /** No capacity there at the moment. */
    NONE_AVAILABLE,
    /** Refused for now; nothing was done. */
    REFUSED
  }

  /**
   * How many endpoints there should be.
   *
   * @param reclaimable whether the order is for those that may be taken away, counted apart
   */
  record EndpointOrder(String service, String domain, boolean reclaimable, int count) {}
}

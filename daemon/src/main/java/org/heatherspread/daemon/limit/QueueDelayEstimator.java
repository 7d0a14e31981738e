package org.heatherspread.daemon.limit;

import java.time.Duration;

/** Estimates the queueing delay at the endpoints. Implementations are thread-safe. */
@FunctionalInterface
public interface QueueDelayEstimator {
  /**
   * Returns the shortest expected wait for the first token of a short prompt among the endpoints of
   * a service; zero if unknown.
   */
  Duration expectedWait(String service);
}

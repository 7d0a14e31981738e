package org.heatherspread.daemon.limit;

import java.time.Duration;

/**
 * Tells how long requests wait at the endpoints. Implementations are safe for use by any thread.
 */
@FunctionalInterface
public interface QueueDelayEstimator {
  /** Returns the least expected wait for the first token of a short prompt, zero if unknown. */
  Duration expectedWait(String service);
}

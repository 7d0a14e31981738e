package org.heatherspread.daemon.routing;

import org.heatherspread.core.model.Instance;

/**
 * The endpoint selected for one attempt, and the receiver of its progress. Exactly one of {@link
 * #recordCompletion} and {@link #recordFailure} is called, last.
 *
 * <p>Implementations are thread-safe.
 */
public interface Selection {
  /** Returns the endpoint. */
  Instance endpoint();

  /** Records that the endpoint accepted the request. */
  default void recordStart() {}

  /**
   * Records the arrival of the first token.
   *
   * @param cachedTokens prompt tokens that the endpoint found in its cache, or -1 if unknown
   */
  default void recordFirstToken(long cachedTokens) {}

  /** Records that the attempt ended with a complete response. */
  void recordCompletion();

  /** Records that the attempt ended without a complete response. */
  void recordFailure(EndpointFailure reason);
}

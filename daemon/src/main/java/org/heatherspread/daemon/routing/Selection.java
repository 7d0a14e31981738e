package org.heatherspread.daemon.routing;

import org.heatherspread.core.model.Instance;

/**
 * The endpoint chosen for one attempt, and how the attempt goes. Exactly one of {@link
 * #recordCompletion} and {@link #recordFailure} is called, last.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface Selection {
  /** Returns the endpoint. */
  Instance endpoint();

  /** The endpoint has taken the request. */
  default void recordStart() {}

  /**
   * The first token has come.
   *
   * @param cachedTokens prompt tokens that the endpoint found in its cache, or -1 if not known
   */
  default void recordFirstToken(long cachedTokens) {}

  /** The attempt has ended with a whole answer. */
  void recordCompletion();

  /** The attempt has ended without one. */
  void recordFailure(EndpointFailure reason);
}

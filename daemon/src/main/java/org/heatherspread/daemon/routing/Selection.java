package org.heatherspread.daemon.routing;

import org.heatherspread.core.model.Instance;

/**
 * The endpoint chosen for one attempt, and how the attempt goes. Exactly one of {@link #finished}
 * and {@link #failed} is called, last.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface Selection {
  /** Returns the endpoint. */
  Instance endpoint();

  /** The endpoint has taken the request. */
  default void started() {}

  /**
   * The first token has come.
   *
   * @param cachedTokens prompt tokens that the endpoint found in its cache, or -1 if not known
   */
  default void firstToken(long cachedTokens) {}

  /** The attempt has ended with a whole answer. */
  void finished();

  /** The attempt has ended without one. */
  void failed(EndpointFailure reason);
}

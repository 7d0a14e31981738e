package org.heatherspread.core.serving;

/**
 * A part of the system that is in effect only where the settings of a deployment ask for it.
 *
 * <p>Daemons of one deployment have the same features, except while its settings change.
 */
public enum Feature {
  /** Requests wait in the daemon for a bounded time while the endpoints have no room. */
  QUEUEING,
  /** Endpoints of one service differ in speed, and the speed of each may change within seconds. */
  UNEVEN_ENDPOINTS,
  /** Operators move a service to another version of its endpoints step by step. */
  ROLLOUTS
}

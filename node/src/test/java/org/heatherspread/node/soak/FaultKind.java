package org.heatherspread.node.soak;

/** What is done to the programs of a soak from outside. */
enum FaultKind {
  /** A daemon is killed and started again. */
  DAEMON_KILLED,
  /** A daemon is asked to stop and started again. */
  DAEMON_STOPPED,
  /** A daemon stands still for a while. */
  DAEMON_PAUSED,
  /** A daemon is told that its settings may have changed. */
  DAEMON_RELOADED,
  /** All daemons are killed at once. */
  ALL_KILLED,
  /** The connections of a daemon to the store are harmed. */
  STORE_LINK,
  /** The connections of a daemon to the store are reset. */
  STORE_LINK_RESET,
  /** The store fails for all. */
  STORE,
  /** The store forgets its history. */
  STORE_HISTORY,
  /** The connections of all daemons to an endpoint are harmed. */
  ENDPOINT_LINK,
  /** The connections to an endpoint are reset. */
  ENDPOINT_LINK_RESET,
  /** An endpoint fails part of its requests. */
  ENDPOINT_FAULTY,
  /** An endpoint says that it leaves, and another comes. */
  ENDPOINT_REPLACED,
  /** An endpoint ends at once, and another comes. */
  ENDPOINT_LOST,
  /** Operators write a new configuration. */
  CONFIGURATION,
  /** Operators take a key away. */
  KEY_REVOKED
}

package org.heatherspread.node.soak;

/** Faults and changes that a soak run injects. The constants appear by name in the run's result. */
enum FaultKind {
  /** A daemon is killed and restarted. */
  DAEMON_KILLED,
  /** A daemon is stopped with SIGTERM and restarted. */
  DAEMON_STOPPED,
  /** A daemon is suspended with SIGSTOP and resumed later. */
  DAEMON_PAUSED,
  /** A daemon receives SIGHUP to reload its settings. */
  DAEMON_RELOADED,
  /** All daemons are killed at the same time and restarted. */
  ALL_KILLED,
  /** The proxy between a daemon and the store delays, stalls or refuses its connections. */
  STORE_LINK,
  /** All connections of a daemon to the store are reset. */
  STORE_LINK_RESET,
  /** The store fails for all daemons. */
  STORE,
  /** The store drops its history of changes. */
  STORE_HISTORY,
  /** The store fails for a moment and returns from a copy that is some seconds old. */
  STORE_RESTORED,
  /** Callers send requests that end each endpoint that begins their answers. */
  CRASHING_REQUESTS,
  /** The proxy in front of an endpoint delays, stalls or refuses its connections. */
  ENDPOINT_LINK,
  /** All connections to an endpoint are reset. */
  ENDPOINT_LINK_RESET,
  /** An endpoint fails a fraction of its requests. */
  ENDPOINT_FAULTY,
  /**
   * An endpoint registers as draining, is closed later, and is replaced by a new one, which may
   * have another version of the software.
   */
  ENDPOINT_REPLACED,
  /** An endpoint names a limit in its responses, another one than before, or none any longer. */
  ENDPOINT_LIMITED,
  /** An endpoint is closed without notice and replaced by a new one. */
  ENDPOINT_LOST,
  /** A new configuration version is written. */
  CONFIGURATION,
  /** An API key is revoked. */
  KEY_REVOKED
}

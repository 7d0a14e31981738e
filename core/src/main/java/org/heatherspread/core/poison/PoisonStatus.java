package org.heatherspread.core.poison;

/** Status of a request with respect to the endpoint crashes that it was involved in. */
public enum PoisonStatus {
  /** No crash counts against the request. */
  CLEAR,
  /** An endpoint crashed while running the request; it may run only without other suspects. */
  SUSPECT,
  /** The request crashes endpoints and is refused. */
  POISONED
}

package org.heatherspread.core.serving;

/** Determines whether a request may be sent again if its outcome at an endpoint is unknown. */
public enum CallKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run at most once for each attempt by the caller. */
  NON_IDEMPOTENT,
  /** Answered by a stream of events; repeated only if the route allows streams to be resumed. */
  STREAM
}

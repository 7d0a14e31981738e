package org.heatherspread.core.serving;

/** What may be done with a request whose outcome at an endpoint is unknown. */
public enum CallKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run at most once for each attempt of the caller. */
  NON_IDEMPOTENT,
  /** Answered by a stream of events; repeated only where the route allows to resume it. */
  STREAM
}

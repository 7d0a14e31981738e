package org.heatherspread.core.request;

/**
 * Phases of a request, in order. The phase only advances, except that a new attempt leads from any
 * phase before {@link #DONE} back to {@link #DISPATCHING}.
 */
public enum RequestPhase {
  /** Recorded at two daemons; nothing has been sent to an endpoint. */
  ACCEPTED,
  /** Data may have been sent to an endpoint. */
  DISPATCHING,
  /** An endpoint has accepted the request. */
  STARTED,
  /** Part of the response has arrived. */
  ANSWERING,
  /** Ended with a response or an error. */
  DONE
}

package org.heatherspread.core.request;

/**
 * The life of a request, in order. A request only moves forward, but for a new attempt, which leads
 * from any phase before {@link #DONE} back to {@link #DISPATCHING}.
 */
public enum RequestPhase {
  /** Kept by two daemons; nothing has been sent to an endpoint. */
  ACCEPTED,
  /** A byte may have left for an endpoint. */
  DISPATCHING,
  /** An endpoint has taken the request. */
  STARTED,
  /** Part of the answer has arrived. */
  ANSWERING,
  /** Closed for good, with an answer or an error. */
  DONE
}

package org.heatherspread.core.routing;

/** The outcome of a dispatched request, as far as it concerns the endpoint. */
public enum DispatchOutcome {
  /** The complete answer arrived. */
  ANSWERED,
  /**
   * The endpoint refused the connection, cut off the stream, sent nothing or reported an internal
   * error.
   */
  FAILED,
  /** The caller cancelled or the deadline passed; neither indicates a fault of the endpoint. */
  ABANDONED
}

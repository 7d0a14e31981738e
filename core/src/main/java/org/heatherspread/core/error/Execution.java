package org.heatherspread.core.error;

/** Knowledge about the execution of a failed request on an endpoint. */
public enum Execution {
  /** The request did not run and will not run under this request id. */
  NOT_RUN,
  /** The request may have run; it may be sent again only if it is repeatable. */
  UNKNOWN,
  /** The request ran, and its outcome is known to be an error. */
  RAN
}

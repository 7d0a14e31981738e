package org.heatherspread.core.error;

/** What is known of a request's execution on an endpoint when it ends with an error. */
public enum Execution {
  /** The request did not run and never will under this request id. */
  NOT_RUN,
  /** The request may have run; only a repeatable request may be sent again. */
  UNKNOWN,
  /** The request ran and its outcome, an error of its own, is known. */
  RAN
}

package org.heatherspread.core.record;

/** State of a call as known to a record holder. */
public enum CallState {
  /** The owner is still processing the call. */
  IN_PROGRESS,
  /** The call ran and the complete response is available. */
  ANSWERED,
  /** The call did not run, and its record is closed, so it never will. */
  NOT_RUN,
  /** The call may have run, and its response is unknown. */
  UNKNOWN,
  /** The record belongs to a call with another body or client account. */
  OTHER_REQUEST,
  /** This daemon does not hold the record, or no longer does. */
  NOT_HELD
}

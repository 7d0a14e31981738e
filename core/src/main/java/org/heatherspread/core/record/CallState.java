package org.heatherspread.core.record;

/** What a keeper of a record can say of a request. */
public enum CallState {
  /** The owner still works on it. */
  IN_PROGRESS,
  /** It ran and the whole answer is here. */
  ANSWERED,
  /** It did not run, and its record is closed, so it never will. */
  NOT_RUN,
  /** It may have run, and its answer is not known. */
  UNKNOWN,
  /** The record belongs to another body or another client account. */
  OTHER_REQUEST,
  /** This daemon is not, or no longer, a keeper of the record and knows nothing. */
  NOT_HELD
}

package org.heatherspread.core.queue;

import java.util.Locale;

/** Why a queue rejects a request. */
public enum RejectionCause {
  /** The request cannot begin within its deadline. */
  DEADLINE,
  /** The work before the request takes longer than its target allows it to wait. */
  BOUND,
  /** More urgent work, or a slower dispatch, delays a queued request beyond its bound. */
  DISPLACED;

  /** Returns the name in logs and metrics, such as {@code deadline}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}

package org.heatherspread.core.error;

/** How a caller should proceed after an error. */
public enum Retry {
  /** A retry of the same request cannot succeed. */
  NEVER,
  /** A retry may succeed after the Retry-After interval. */
  AFTER_DELAY,
  /** Fetch the daemon addresses again and retry at another daemon. */
  ELSEWHERE,
  /** Query any daemon for the outcome by request id; do not send the request again. */
  ASK_OUTCOME
}

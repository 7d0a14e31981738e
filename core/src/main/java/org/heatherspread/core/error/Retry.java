package org.heatherspread.core.error;

/** What a caller should do after an error. */
public enum Retry {
  /** Sending the same request again cannot succeed. */
  NEVER,
  /** The same request may succeed later, no earlier than the Retry-After interval. */
  AFTER_DELAY,
  /** Ask for addresses again and retry at another daemon. */
  ELSEWHERE,
  /** Ask any daemon for the outcome with the same request id; do not send the request again. */
  ASK_OUTCOME
}

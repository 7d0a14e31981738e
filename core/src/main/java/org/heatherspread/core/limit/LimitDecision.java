package org.heatherspread.core.limit;

import java.time.Duration;

/**
 * Result of checking a request against its account's limits. Immutable.
 *
 * @param reason the limit that refused the request, or {@code NONE}
 * @param retryAfter time until the request would be admitted if no other requests arrive; zero if
 *     admitted
 */
public record LimitDecision(Reason reason, Duration retryAfter) {
  /** The decision for every admitted request. */
  public static final LimitDecision ADMITTED = new LimitDecision(Reason.NONE, Duration.ZERO);

  private static final double MAX_RETRY_SECONDS = 60;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The limit that refused a request. */
  public enum Reason {
    /** The request was admitted. */
    NONE,
    /** Requests per second. */
    REQUESTS,
    /** Tokens per second. */
    TOKENS,
    /** Requests in progress. */
    CONCURRENCY
  }

  /** Returns whether the request was admitted. */
  public boolean admitted() {
    return reason == Reason.NONE;
  }

  static LimitDecision refused(Reason reason, double seconds) {
    long millis = (long) Math.ceil(Math.min(seconds, MAX_RETRY_SECONDS) * MILLIS_PER_SECOND);
    return new LimitDecision(reason, Duration.ofMillis(Math.max(1, millis)));
  }
}

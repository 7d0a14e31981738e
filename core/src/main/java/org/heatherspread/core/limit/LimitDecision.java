package org.heatherspread.core.limit;

import java.time.Duration;

/**
 * Whether a request is within its account's limits. Immutable.
 *
 * @param reason the limit that refused, or that none did
 * @param retryAfter when a request would be admitted if nobody else asks; zero where admitted
 */
public record LimitDecision(Reason reason, Duration retryAfter) {
  /** The answer to a request within the limits. */
  public static final LimitDecision ADMITTED = new LimitDecision(Reason.NONE, Duration.ZERO);

  private static final double LONGEST_SECONDS = 60;
  private static final double MILLIS = 1_000;

  /** The limit that refused. */
  public enum Reason {
    /** No limit; the request was admitted. */
    NONE,
    /** Requests a second. */
    REQUESTS,
    /** Tokens a second. */
    TOKENS,
    /** Requests in progress at once. */
    CONCURRENCY
  }

  /** Tells whether the request was admitted. */
  public boolean admitted() {
    return reason == Reason.NONE;
  }

  static LimitDecision refused(Reason reason, double seconds) {
    long millis = (long) Math.ceil(Math.min(seconds, LONGEST_SECONDS) * MILLIS);
    return new LimitDecision(reason, Duration.ofMillis(Math.max(1, millis)));
  }
}

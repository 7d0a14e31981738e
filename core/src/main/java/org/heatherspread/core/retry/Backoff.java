package org.heatherspread.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter between the retries of one request. Immutable.
 *
 * @param base upper bound of the first delay
 * @param max upper bound of all delays
 */
public record Backoff(Duration base, Duration max) {
  private static final Duration DEFAULT_BASE = Duration.ofMillis(20);
  private static final Duration DEFAULT_MAX = Duration.ofSeconds(1);
  private static final int MAX_DOUBLINGS = 20;

  /** Returns the default backoff. */
  public static Backoff defaults() {
    return new Backoff(DEFAULT_BASE, DEFAULT_MAX);
  }

  /**
   * Returns a delay in nanoseconds, uniformly distributed between zero and the upper bound of this
   * retry.
   *
   * @param retry number of the retry, from 1
   */
  public long delayNanos(int retry, RandomGenerator random) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry - 1));
    long bound = Math.min(max.toNanos(), base.toNanos() << doublings);
    return bound <= 0 ? 0 : random.nextLong(bound + 1);
  }
}

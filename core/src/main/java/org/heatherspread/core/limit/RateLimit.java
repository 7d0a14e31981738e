package org.heatherspread.core.limit;

/**
 * A limit on what all daemons together may send per second, in requests or tokens. Implementations
 * are immutable.
 */
public interface RateLimit {
  /** Returns the name, which is unique among the limits of one limiter. */
  String name();

  /** Returns the requests or tokens per second, 0 for no limit. */
  double ratePerSecond();

  /** Returns the maximum of requests or tokens that can accumulate for a burst. */
  double burst();

  /**
   * Returns whether a request is admitted as soon as anything is left of the limit, so that
   * requests are admitted that are larger than the burst. Otherwise only whole requests are
   * counted.
   */
  default boolean mayOverdraw() {
    return true;
  }
}

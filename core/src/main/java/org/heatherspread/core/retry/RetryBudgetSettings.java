package org.heatherspread.core.retry;

/**
 * Size of a retry budget. Immutable.
 *
 * @param ratio retries allowed per request, such as 0.2
 * @param perSecond retries allowed per second regardless of the load
 * @param burst maximum number of unused retries that accumulate
 */
public record RetryBudgetSettings(double ratio, double perSecond, double burst) {
  private static final double DEFAULT_RATIO = 0.2;
  private static final double DEFAULT_PER_SECOND = 5;
  private static final double DEFAULT_BURST = 200;

  /** Returns the default settings. */
  public static RetryBudgetSettings defaults() {
    return new RetryBudgetSettings(DEFAULT_RATIO, DEFAULT_PER_SECOND, DEFAULT_BURST);
  }
}

package org.heatherspread.core.retry;

/**
 * The size of a retry budget. Immutable.
 *
 * @param ratio retries allowed for each request, such as 0.2
 * @param perSecond retries allowed each second whatever the load
 * @param burst most retries that can be saved up
 */
public record RetryBudgetSettings(double ratio, double perSecond, double burst) {
  private static final double DEFAULT_RATIO = 0.2;
  private static final double DEFAULT_PER_SECOND = 5;
  private static final double DEFAULT_BURST = 200;

  /** Returns the settings of a deployment that states none. */
  public static RetryBudgetSettings defaults() {
    return new RetryBudgetSettings(DEFAULT_RATIO, DEFAULT_PER_SECOND, DEFAULT_BURST);
  }
}

package org.heatherspread.core.admission;

/**
 * Rejects a model request immediately if its first token is expected well after its target.
 *
 * <p>If endpoints are lost faster than new ones start, or traffic rises suddenly, a common queue
 * would make every request late. Shedding keeps the admitted requests within their targets and
 * tells the others immediately when to retry. Less urgent requests are rejected at a lower expected
 * time, so that a more urgent class is never served worse. Stateless and thread-safe.
 */
public final class LoadShedder {
  /** Ratios of expected time to target above which requests are rejected, by urgency. */
  private static final double[] LATENCY_RATIO_LIMITS = {1.8, 1.3, 1.0};

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Bounds of the time after which a rejected caller should retry. */
  private static final double MIN_RETRY_SECONDS = 0.25;

  private static final double MAX_RETRY_SECONDS = 2.0;

  private LoadShedder() {}

  /**
   * Returns whether a request is admitted.
   *
   * @param expectedMillis expected time to the first token at the best endpoint
   * @param targetMillis target of the time to the first token, 0 for none
   * @param urgency rank, 0 for the most urgent
   */
  public static boolean admits(double expectedMillis, int targetMillis, int urgency) {
    if (targetMillis <= 0) {
      return true;
    }
    double ratioLimit =
        LATENCY_RATIO_LIMITS[Math.min(Math.max(0, urgency), LATENCY_RATIO_LIMITS.length - 1)];
    return expectedMillis <= ratioLimit * targetMillis;
  }

  /**
   * Returns the time after which a rejected caller should retry, in seconds. It grows with the
   * expected delay and is randomized, so that callers do not all retry at once.
   *
   * @param jitter uniform in [0, 1)
   */
  public static double retryAfterSeconds(double expectedMillis, int targetMillis, double jitter) {
    double excess = Math.max(0, expectedMillis - targetMillis) / MILLIS_PER_SECOND;
    double wait = MIN_RETRY_SECONDS + excess * (0.5 + jitter);
    return Math.min(MAX_RETRY_SECONDS, wait);
  }
}

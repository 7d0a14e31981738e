package org.heatherspread.core.admission;

/**
 * Refuses a model request at once when its first token is expected well after its target.
 *
 * <p>Answers the load in which endpoints are lost faster than new ones start, or traffic jumps:
 * without it all requests wait in one line and all are late; with it those that are let in are in
 * time, and the others hear at once when to come back. Less urgent requests are refused sooner, so
 * that a more urgent kind is never served worse. Stateless.
 */
public final class LoadShedder {
  /** Expected time as a share of the target above which requests are refused, by urgency. */
  private static final double[] LIMITS = {1.8, 1.3, 1.0};

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Shortest and longest time after which a refused caller should come back, in seconds. */
  private static final double MIN_RETRY_SECONDS = 0.25;

  private static final double MAX_RETRY_SECONDS = 2.0;

  private LoadShedder() {}

  /**
   * Decides about one request.
   *
   * @param expectedMillis expected time to the first token at the best endpoint
   * @param targetMillis time that operators aim at, 0 for none
   * @param urgency rank, 0 for the most urgent
   */
  public static boolean admits(double expectedMillis, int targetMillis, int urgency) {
    if (targetMillis <= 0) {
      return true;
    }
    double limit = LIMITS[Math.min(Math.max(0, urgency), LIMITS.length - 1)];
    return expectedMillis <= limit * targetMillis;
  }

  /**
   * Returns when a refused caller should come back, in seconds: when the line will have become
   * shorter, spread so that not all come at once.
   *
   * @param draw uniform in [0, 1)
   */
  public static double retryAfterSeconds(double expectedMillis, int targetMillis, double draw) {
    double excess = Math.max(0, expectedMillis - targetMillis) / MILLIS_PER_SECOND;
    double wait = MIN_RETRY_SECONDS + excess * (0.5 + draw);
    return Math.min(MAX_RETRY_SECONDS, wait);
  }
}

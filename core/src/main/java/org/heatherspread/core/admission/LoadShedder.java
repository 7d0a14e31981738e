package org.heatherspread.core.admission;

import java.util.OptionalInt;

/**
 * Rejects a model request immediately if its first token is expected after its target.
 *
 * <p>If endpoints are lost faster than new ones start, or traffic rises suddenly, a common queue
 * would make every request late. Shedding keeps the admitted requests within their targets and
 * tells the others immediately when to retry. All requests wait in the same queues, so a less
 * urgent request is rejected at an expected time at which a more urgent one would still be in time,
 * even if its own target is longer: else patient requests would fill the queues until all urgent
 * ones are late or rejected. Stateless and thread-safe.
 */
public final class LoadShedder {
  /** Ratio of expected time to target above which requests are rejected; views of load are old. */
  private static final double LATENCY_RATIO_LIMIT = 0.95;

  /** Ratio of expected time to the target of more urgent requests, for each step of urgency. */
  private static final double LESS_URGENT_RATIO = 0.95;

  private static final int MAX_URGENCY_STEPS = 3;

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
   * @param urgentTargetMillis shortest target of more urgent requests to the service, if any
   */
  public static boolean admits(
      double expectedMillis, int targetMillis, int urgency, OptionalInt urgentTargetMillis) {
    if (targetMillis <= 0) {
      return true;
    }
    double limit = LATENCY_RATIO_LIMIT * targetMillis;
    if (urgentTargetMillis.isPresent()) {
      int steps = Math.min(Math.max(1, urgency), MAX_URGENCY_STEPS);
      double share = Math.pow(LESS_URGENT_RATIO, steps);
      limit = Math.min(limit, share * urgentTargetMillis.getAsInt());
    }
    return expectedMillis <= limit;
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

package org.heatherspread.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates for each route the ratio of actual answer tokens to the maximum that callers state,
 * which is usually far higher. Confined to one thread.
 */
public final class AnswerLengthEstimator {
  private static final double SMOOTHING = 0.05;
  private static final double INITIAL_RATIO = 0.6;

  private final Map<String, Double> ratioByRoute = new HashMap<>();

  private AnswerLengthEstimator() {}

  /** Creates an estimator without observations. */
  public static AnswerLengthEstimator create() {
    return new AnswerLengthEstimator();
  }

  /** Returns the expected number of answer tokens. */
  public int expectedTokens(String route, int maxTokens) {
    return (int) (maxTokens * ratioByRoute.getOrDefault(route, INITIAL_RATIO));
  }

  /** Records the length of a complete answer. */
  public void recordAnswer(String route, int maxTokens, long tokens) {
    if (maxTokens <= 0) {
      return;
    }
    double ratio = Math.min(1, (double) tokens / maxTokens);
    ratioByRoute.merge(
        route, ratio, (current, observed) -> current + SMOOTHING * (observed - current));
  }
}

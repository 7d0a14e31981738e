package org.heatherspread.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns for each route which part of the stated most answer tokens is made, as callers state far
 * more than they get. Confined to one thread.
 */
public final class AnswerLengthEstimator {
  private static final double SMOOTHING = 0.05;
  private static final double START = 0.6;

  private final Map<String, Double> parts = new HashMap<>();

  private AnswerLengthEstimator() {}

  /** Creates lengths that know nothing. */
  public static AnswerLengthEstimator create() {
    return new AnswerLengthEstimator();
  }

  /** Returns the answer tokens to expect. */
  public int expectedTokens(String route, int stated) {
    return (int) (stated * parts.getOrDefault(route, START));
  }

  /** Notes a whole answer. */
  public void recordAnswer(String route, int stated, long tokens) {
    if (stated <= 0) {
      return;
    }
    double part = Math.min(1, (double) tokens / stated);
    parts.merge(route, part, (known, next) -> known + SMOOTHING * (next - known));
  }
}

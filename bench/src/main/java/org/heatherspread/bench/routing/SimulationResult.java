package org.heatherspread.bench.routing;

/**
 * What one run of the model gave. Immutable.
 *
 * @param endpoints size of the fleet
 * @param pricePerHour price of the fleet
 * @param durationMillis length of the run
 * @param requests requests that arrived
 * @param inTarget answers within the latency target
 * @param rejected requests rejected early
 * @param recomputedTokens prompt tokens computed that some endpoint had computed before
 * @param computedTokens all prompt tokens computed
 * @param fairness Jain's index over the accounts' shares of answers in target
 */
record SimulationResult(
    int endpoints,
    double pricePerHour,
    double durationMillis,
    int requests,
    int answersInTarget,
    int rejected,
    long recomputedTokens,
    long computedTokens,
    double fairness) {
  private static final double MILLIS_PER_HOUR = 3_600_000;

  double shareInTarget() {
    return (double) answersInTarget / requests;
  }

  double costPerThousandInTarget() {
    return 1_000 * pricePerHour * durationMillis / MILLIS_PER_HOUR / Math.max(1, answersInTarget);
  }

  double recomputedPerRequest() {
    return (double) recomputedTokens / requests;
  }

  double goodputPerSecond() {
    return 1_000 * answersInTarget / durationMillis;
  }
}

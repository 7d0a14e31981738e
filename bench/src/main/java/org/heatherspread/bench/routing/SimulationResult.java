package org.heatherspread.bench.routing;

/**
 * The result of one {@link RoutingSimulation}. Immutable.
 *
 * @param endpoints number of endpoints in the fleet
 * @param pricePerHour price of the whole fleet
 * @param durationMillis simulated time during which requests arrive
 * @param requests number of requests that arrived
 * @param answersInTarget number of answers within the latency target
 * @param rejected number of requests rejected before dispatch
 * @param recomputedTokens computed prompt tokens that an endpoint of the fleet had already computed
 *     before
 * @param computedTokens all computed prompt tokens
 * @param fairness Jain's fairness index over the share of answers in target of each client account
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

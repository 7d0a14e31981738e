package org.heatherspread.bench.routing;

/**
 * A simulated request and its outcome. Mutable and not thread-safe; each {@link RoutingSimulation}
 * works on its own copies. The times of the first token and of completion are NaN until the event
 * occurs.
 */
final class SimulatedRequest {
  final double arrivalMillis;
  final int account;
  final long[] blockHashes;
  final int promptTokens;
  final int answerTokens;

  double firstTokenAtMillis = Double.NaN;
  double completedAtMillis = Double.NaN;
  boolean rejected;

  SimulatedRequest(
      double arrivalMillis, int account, long[] blockHashes, int promptTokens, int answerTokens) {
    this.arrivalMillis = arrivalMillis;
    this.account = account;
    this.blockHashes = blockHashes;
    this.promptTokens = promptTokens;
    this.answerTokens = answerTokens;
  }

  SimulatedRequest copy() {
    return new SimulatedRequest(arrivalMillis, account, blockHashes, promptTokens, answerTokens);
  }

  /** Returns whether the request completed within both latency limits. */
  boolean meetsTarget(double maxFirstTokenMillis, double maxInterTokenMillis) {
    if (rejected || Double.isNaN(completedAtMillis)) {
      return false;
    }
    double interTokenMillis =
        (completedAtMillis - firstTokenAtMillis) / Math.max(1, answerTokens - 1);
    return firstTokenAtMillis - arrivalMillis <= maxFirstTokenMillis
        && interTokenMillis <= maxInterTokenMillis;
  }
}

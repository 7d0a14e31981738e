package org.heatherspread.bench.routing;

/**
 * One modelled request and how it went. Not safe for use by several threads; each run of the model
 * makes its own copies.
 */
final class SimRequest {
  final double arrivalMillis;
  final int account;
  final long[] hashes;
  final int promptTokens;
  final int answerTokens;

  double firstTokenMillis = Double.NaN;
  double endMillis = Double.NaN;
  boolean rejected;

  SimRequest(double arrivalMillis, int account, long[] hashes, int promptTokens, int answerTokens) {
    this.arrivalMillis = arrivalMillis;
    this.account = account;
    this.hashes = hashes;
    this.promptTokens = promptTokens;
    this.answerTokens = answerTokens;
  }

  SimRequest copy() {
    return new SimRequest(arrivalMillis, account, hashes, promptTokens, answerTokens);
  }

  boolean inTarget(double firstMillis, double intervalMillis) {
    if (rejected || Double.isNaN(endMillis)) {
      return false;
    }
    double interval = (endMillis - firstTokenMillis) / Math.max(1, answerTokens - 1);
    return firstTokenMillis - arrivalMillis <= firstMillis && interval <= intervalMillis;
  }
}

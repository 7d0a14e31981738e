package org.heatherspread.core.routing;

/**
 * The load that an endpoint reported of itself. Immutable.
 *
 * @param measuredAtMillis when the endpoint measured it, on this daemon's monotonic clock
 * @param running requests in the batch
 * @param waiting requests not yet in the batch
 * @param waitingPromptTokens prompt tokens not yet computed
 * @param cacheUsed share of the KV cache in use by running requests, 0 to 1
 * @param decodeTokensPerSecond answer tokens that the whole batch generates a second; 0 if unknown
 * @param prefillTokensPerSecond prompt tokens computed a second; 0 if unknown
 */
public record LoadReport(
    long measuredAtMillis,
    int running,
    int waiting,
    long waitingPromptTokens,
    double cacheUsed,
    double decodeTokensPerSecond,
    double prefillTokensPerSecond) {

  /** Returns the report of an endpoint that has not spoken yet. */
  public static LoadReport none() {
    return new LoadReport(Long.MIN_VALUE, 0, 0, 0, 0, 0, 0);
  }

  /** Tells whether the endpoint has ever reported. */
  public boolean isPresent() {
    return measuredAtMillis != Long.MIN_VALUE;
  }
}

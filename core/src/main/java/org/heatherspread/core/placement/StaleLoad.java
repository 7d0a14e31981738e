package org.heatherspread.core.placement;

import org.heatherspread.core.fleet.EndpointLoad;

/**
 * The load that other daemons reported for an endpoint, and what is left of it some time later.
 *
 * <p>Reports are up to some hundred milliseconds old. In this time an endpoint ends requests and
 * prefills prompts, and receives new ones. What exceeds the mean of the service's endpoints is
 * therefore taken to have been worked off, and what is below it to have filled up. Immutable.
 *
 * @param meanRunning mean of the reported requests of the service's endpoints
 * @param meanPromptTokens mean of their reported tokens
 * @param meanLogSlowness mean logarithm of the slowness of their recent responses
 * @param meanHeldTokens mean of the tokens that their requests hold
 * @param reportedMillis time of the report on the daemon's clock
 */
record StaleLoad(
    EndpointLoad load,
    double meanRunning,
    double meanPromptTokens,
    double meanLogSlowness,
    double meanHeldTokens,
    long reportedMillis) {
  /** No load. */
  static final StaleLoad NONE = new StaleLoad(EndpointLoad.NONE, 0, 0, 0, 0, 0);

  /** Mean age of loads when they arrive, half of the interval of exchanges. */
  private static final long ARRIVAL_AGE_MILLIS = 125;

  private long ageMillis(long nowMillis) {
    return nowMillis - reportedMillis + ARRIVAL_AGE_MILLIS;
  }

  /**
   * Returns the number of requests that are expected to run.
   *
   * @param holdMillis mean duration of a request
   */
  double running(long nowMillis, double holdMillis) {
    return meanRunning + keptShare(nowMillis, holdMillis) * (load.running() - meanRunning);
  }

  /**
   * Returns the tokens that running requests are expected to hold.
   *
   * @param holdMillis mean duration of a request
   */
  double heldTokens(long nowMillis, double holdMillis) {
    return meanHeldTokens + keptShare(nowMillis, holdMillis) * (load.heldTokens() - meanHeldTokens);
  }

  private double keptShare(long nowMillis, double holdMillis) {
    return Math.exp(-ageMillis(nowMillis) / Math.max(1, holdMillis));
  }

  /**
   * Returns the prompt tokens that are expected to wait for their prefill.
   *
   * @param tokensPerMilli prefill throughput of the endpoint
   */
  double promptTokens(long nowMillis, double tokensPerMilli) {
    double reported = load.promptTokens();
    double drained = reported - tokensPerMilli * ageMillis(nowMillis);
    return Math.max(drained, Math.min(reported, meanPromptTokens));
  }
}

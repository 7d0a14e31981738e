package org.heatherspread.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.heatherspread.core.fleet.RecentOutcomes;

/**
 * Estimates the speed of one incarnation of an endpoint, and the share of its requests that fail,
 * from the recent responses of all daemons.
 *
 * <p>Speeds change within 0.6 to 6.5 s, so a response counts for about as long as the shorter of
 * these times. With many daemons each sees few responses of an endpoint, so daemons exchange their
 * sums. A request that has waited longer than expected counts before its response arrives, as an
 * endpoint that becomes slow has no responses for some time. Without recent responses the estimate
 * returns to that of an average endpoint, which then receives requests again. Invariant: failures
 * do not change the slowness. Confined to one thread.
 */
final class EndpointObservations {
  /** Time constant of the exponential decay of a response's weight. */
  private static final double DECAY_MILLIS = 600;

  /**
   * Time constant of the weight of a failure. With 600 ms, an endpoint that stopped and started
   * every 1.4 s got no requests in the second after each start.
   */
  private static final double FAILURE_DECAY_MILLIS = 400;

  /** Share of failures that is not counted, so that the rest of old ones does not matter. */
  private static final double TOLERATED_FAILURE_SHARE = 0.04;

  /**
   * Weight of the assumption that an endpoint is as fast as the average one. With 0.5, all daemons
   * left an endpoint after one late response and crowded at others.
   */
  private static final double PRIOR_RESPONSES = 4;

  /** Weight of the assumption that no request fails. */
  private static final double PRIOR_SUCCESSES = 2;

  /** Bounds of one observed ratio, and of the estimate. */
  private static final double MIN_SLOWNESS = 0.33;

  private static final double MAX_SLOWNESS = 20;

  /**
   * Delay added to observed and expected times, below which their ratio says little, as requests of
   * other daemons that are not known yet cause it.
   */
  private static final double NOISE_MILLIS = 200;

  /** Ratio of the waiting time of a request to the expected one above which it counts as late. */
  private static final double LATE_RATIO = 1.5;

  /** Age at which the estimates are computed again. */
  private static final long REFRESH_MILLIS = 20;

  private final Map<Object, Sent> waiting = new LinkedHashMap<>();
  private double responses;
  private double logSlowness;
  private double failures;
  private long decayedMillis;
  private RecentOutcomes peers = RecentOutcomes.NONE;
  private double meanLogSlowness;
  private long peersMillis;
  private double slowness = 1;
  private double failureShare;
  private long computedMillis = Long.MIN_VALUE / 2;

  private EndpointObservations() {}

  /** Creates estimates of an endpoint without responses. */
  static EndpointObservations create() {
    return new EndpointObservations();
  }

  /** A request without a response. */
  private record Sent(long sentMillis, double expectedMillis) {}

  /** Returns the estimate that was computed last. */
  double lastSlowness() {
    return slowness;
  }

  /** Returns the ratio of the endpoint's times to those of an average endpoint. */
  double slowness(long nowMillis) {
    refresh(nowMillis);
    return slowness;
  }

  /** Returns the share of requests that fail because of the endpoint, beyond a tolerated one. */
  double failureShare(long nowMillis) {
    refresh(nowMillis);
    return failureShare;
  }

  /**
   * Records that a request was sent.
   *
   * @param request identifies the request
   * @param expectedMillis expected time to its response at an average endpoint
   */
  void recordSent(Object request, double expectedMillis, long nowMillis) {
    waiting.put(request, new Sent(nowMillis, expectedMillis));
  }

  /** Records the first event or the response to a request. */
  void recordResponse(Object request, long nowMillis) {
    Sent sent = waiting.remove(request);
    if (sent != null) {
      decay(nowMillis);
      responses++;
      logSlowness += logRatio(nowMillis - sent.sentMillis, sent.expectedMillis);
      computedMillis = Long.MIN_VALUE / 2;
    }
  }

  /** Records that a request failed because of the endpoint. */
  void recordFailure(long nowMillis) {
    decay(nowMillis);
    failures++;
    computedMillis = Long.MIN_VALUE / 2;
  }

  /** Records that no response to a request is awaited any longer. */
  void recordEnd(Object request) {
    waiting.remove(request);
  }

  /**
   * Replaces what other daemons observed.
   *
   * @param meanLogSlowness mean of the logarithms of the slowness of the service's endpoints
   */
  void updatePeers(RecentOutcomes outcomes, double meanLogSlowness, long nowMillis) {
    peers = outcomes;
    this.meanLogSlowness = meanLogSlowness;
    peersMillis = nowMillis;
    computedMillis = Long.MIN_VALUE / 2;
  }

  /** Returns what this daemon observed. */
  RecentOutcomes ownOutcomes(long nowMillis) {
    decay(nowMillis);
    double late = lateLogRatio(nowMillis);
    double count = responses + (late > 0 ? 1 : 0);
    return count + failures < 0.01
        ? RecentOutcomes.NONE
        : new RecentOutcomes(count, logSlowness + late, failures);
  }

  private void decay(long nowMillis) {
    double kept = Math.exp(-(nowMillis - decayedMillis) / DECAY_MILLIS);
    responses *= kept;
    logSlowness *= kept;
    failures *= Math.exp(-(nowMillis - decayedMillis) / FAILURE_DECAY_MILLIS);
    decayedMillis = nowMillis;
  }

  private void refresh(long nowMillis) {
    if (nowMillis - computedMillis < REFRESH_MILLIS) {
      return;
    }
    computedMillis = nowMillis;
    decay(nowMillis);
    double late = lateLogRatio(nowMillis);
    double kept = Math.exp(-(nowMillis - peersMillis) / DECAY_MILLIS);
    double count = responses + (late > 0 ? 1 : 0) + kept * peers.responses();
    double sum = logSlowness + late + kept * peers.logSlowness();
    slowness = bounded(Math.exp((sum - count * meanLogSlowness) / (PRIOR_RESPONSES + count)));
    double keptFailures = Math.exp(-(nowMillis - peersMillis) / FAILURE_DECAY_MILLIS);
    double failed = failures + keptFailures * peers.failures();
    double share = failed / (PRIOR_SUCCESSES + count + failed);
    failureShare = Math.max(0, share - TOLERATED_FAILURE_SHARE);
  }

  /** Returns the logarithm of the slowness that the oldest waiting request shows, 0 for none. */
  private double lateLogRatio(long nowMillis) {
    if (waiting.isEmpty()) {
      return 0;
    }
    Sent oldest = waiting.values().iterator().next();
    double waited = nowMillis - oldest.sentMillis;
    boolean late = waited > LATE_RATIO * Math.max(1, slowness) * oldest.expectedMillis;
    return late ? Math.max(0, logRatio(waited, oldest.expectedMillis)) : 0;
  }

  private static double logRatio(double observedMillis, double expectedMillis) {
    double ratio = (observedMillis + NOISE_MILLIS) / (expectedMillis + NOISE_MILLIS);
    return Math.log(bounded(ratio));
  }

  private static double bounded(double slowness) {
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
  }
}

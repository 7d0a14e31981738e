package org.heatherspread.core.routing;

/**
 * Weights of the components of a placement's expected cost. The first five are multipliers on
 * milliseconds of endpoint time. Immutable.
 *
 * @param queueing time until the prefill starts
 * @param recompute time to compute prompt tokens that the endpoint does not hold
 * @param slowdown time added to the answers of the whole batch
 * @param price endpoint time multiplied by the relative price above that of the cheapest endpoint
 * @param reclaim endpoint time expected to be lost to a reclaim
 * @param crossDomain milliseconds added for an endpoint outside the caller's failure domain
 * @param affinity milliseconds added for the endpoint that ranks last for the shared prefix; the
 *     preferred endpoint adds none, and those between a proportional part
 * @param targetShare share of the first-token target that the expected time may use, 0 to 1
 * @param peerFactor dispatches of all daemons for each dispatch of this daemon since a report
 * @param sampleSize random endpoints evaluated in a large service, in addition to prefix holders
 *     and preferred endpoints
 */
public record RoutingWeights(
    double queueing,
    double recompute,
    double slowdown,
    double price,
    double reclaim,
    double crossDomain,
    double affinity,
    double targetShare,
    double peerFactor,
    int sampleSize) {

  /** Returns weights for deployments that pay for answers within the latency target. */
  public static RoutingWeights costAtTarget() {
    return new RoutingWeights(1, 4, 0.2, 0.1, 0.1, 2, 100, 0.6, 8, 16);
  }

  /** Returns weights for deployments that pay for recomputed tokens. */
  public static RoutingWeights recomputedTokens() {
    return costAtTarget().withRecompute(8).withAffinity(200);
  }

  /** Returns a copy with another weight for recomputed tokens. */
  public RoutingWeights withRecompute(double next) {
    return new RoutingWeights(
        queueing,
        next,
        slowdown,
        price,
        reclaim,
        crossDomain,
        affinity,
        targetShare,
        peerFactor,
        sampleSize);
  }

  /** Returns a copy with another weight for preferred endpoints. */
  public RoutingWeights withAffinity(double next) {
    return new RoutingWeights(
        queueing,
        recompute,
        slowdown,
        price,
        reclaim,
        crossDomain,
        next,
        targetShare,
        peerFactor,
        sampleSize);
  }

  /** Returns a copy with another weight for queueing. */
  public RoutingWeights withQueueing(double next) {
    return new RoutingWeights(
        next,
        recompute,
        slowdown,
        price,
        reclaim,
        crossDomain,
        affinity,
        targetShare,
        peerFactor,
        sampleSize);
  }

  /** Returns a copy with another weight for the slowdown of the batch. */
  public RoutingWeights withSlowdown(double next) {
    return new RoutingWeights(
        queueing,
        recompute,
        next,
        price,
        reclaim,
        crossDomain,
        affinity,
        targetShare,
        peerFactor,
        sampleSize);
  }

  /** Returns a copy with another factor for the dispatches of other daemons. */
  public RoutingWeights withPeerFactor(double next) {
    return new RoutingWeights(
        queueing,
        recompute,
        slowdown,
        price,
        reclaim,
        crossDomain,
        affinity,
        targetShare,
        next,
        sampleSize);
  }

  /** Returns a copy with another share of the first-token target. */
  public RoutingWeights withTargetShare(double next) {
    return new RoutingWeights(
        queueing,
        recompute,
        slowdown,
        price,
        reclaim,
        crossDomain,
        affinity,
        next,
        peerFactor,
        sampleSize);
  }
}

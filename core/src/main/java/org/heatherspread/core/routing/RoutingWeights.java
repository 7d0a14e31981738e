package org.heatherspread.core.routing;

/**
 * How a deployment weighs the parts of the expected cost of a placement. All but the bounds are
 * multipliers on milliseconds of endpoint time. Immutable.
 *
 * @param queueing time until the prefill starts
 * @param recompute time to compute prompt tokens that the endpoint does not hold
 * @param slowdown time added to the answers of the whole batch
 * @param price endpoint time times the price relative to the cheapest endpoint
 * @param reclaim endpoint time that is lost with a reclaim
 * @param crossDomain added where the endpoint is outside the caller's failure domain, milliseconds
 * @param affinity added for the endpoint that ranks last for the shared prefix, milliseconds; the
 *     rendezvous home pays nothing and those between in proportion
 * @param targetShare share of the latency target that an expected time may use, 0 to 1
 * @param peerFactor dispatches of all daemons for each own one since a report
 * @param sampleSize random endpoints weighed beside holders and homes in a large service
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

  /** Returns weights for deployments that pay for tokens computed again. */
  public static RoutingWeights recomputedTokens() {
    return costAtTarget().withRecompute(8).withAffinity(200);
  }

  /** Returns a copy with another weight of recomputed tokens. */
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

  /** Returns a copy with another preference for rendezvous homes. */
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

  /** Returns a copy with another weight of waiting. */
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

  /** Returns a copy with another weight of the slowdown of the batch. */
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

  /** Returns a copy that counts other daemons' dispatches differently. */
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

  /** Returns a copy that may use another share of the latency target. */
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

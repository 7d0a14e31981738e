package org.heatherspread.core.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places calls of plain services on the less loaded of two random endpoints (Mitzenmacher's power
 * of two choices), with the same health rules as for models.
 *
 * <p>Immutable and thread-safe.
 */
public final class LeastLoadedRouter {
  private static final double RAMP_UP_PENALTY_REQUESTS = 4;
  private static final double CROSS_DOMAIN_PENALTY_REQUESTS = 0.5;
  private static final int SAMPLE_SIZE = 2;

  private final RoutingWeights weights;
  private final HealthPolicy health;

  private LeastLoadedRouter(RoutingWeights weights, HealthPolicy health) {
    this.weights = weights;
    this.health = health;
  }

  /** Creates a router. */
  public static LeastLoadedRouter create(RoutingWeights weights, HealthPolicy health) {
    return new LeastLoadedRouter(weights, health);
  }

  /** Chooses an endpoint for a request; empty if no endpoint can take it. */
  public Optional<RoutingDecision> choose(
      RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, RandomGenerator random) {
    boolean ignoreEjections = snapshot.ejectedCount() > health.maxEjectedShare() * snapshot.size();
    EndpointView best = chooseFromSample(snapshot, request, nowMillis, random, ignoreEjections);
    if (best == null && !ignoreEjections) {
      best = chooseFromSample(snapshot, request, nowMillis, random, true);
    }
    if (best == null) {
      return Optional.empty();
    }
    double millis = request.target().firstToken().toMillis();
    return Optional.of(new RoutingDecision(best, 0, 0, millis, 0, true));
  }

  private EndpointView chooseFromSample(
      RoutingSnapshot snapshot,
      RoutingRequest request,
      long nowMillis,
      RandomGenerator random,
      boolean ignoreEjections) {
    int size = snapshot.size();
    int first = size == 0 ? 0 : random.nextInt(size);
    int stride = size < 2 ? 1 : 1 + random.nextInt(size - 1);
    EndpointView best = null;
    double lowestLoad = 0;
    int sampled = 0;
    for (int i = 0; i < size && sampled < SAMPLE_SIZE; i++) {
      int position = i < SAMPLE_SIZE ? (first + i * stride) % size : (first + i) % size;
      EndpointView view = snapshot.endpoint(position);
      if (!isUsable(view, request, nowMillis, ignoreEjections)) {
        continue;
      }
      sampled++;
      double load = load(view, request, nowMillis);
      if (best == null || load < lowestLoad) {
        best = view;
        lowestLoad = load;
      }
    }
    return best == null ? firstUsable(snapshot, request, nowMillis, ignoreEjections) : best;
  }

  private EndpointView firstUsable(
      RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, boolean ignoreEjections) {
    for (int i = 0; i < snapshot.size(); i++) {
      EndpointView view = snapshot.endpoint(i);
      if (isUsable(view, request, nowMillis, ignoreEjections)) {
        return view;
      }
    }
    return null;
  }

  private boolean isUsable(
      EndpointView view, RoutingRequest request, long nowMillis, boolean ignoreEjections) {
    return !request.excluded().contains(view.profile().id())
        && (ignoreEjections || view.health().admits(nowMillis));
  }

  private double load(EndpointView view, RoutingRequest request, long nowMillis) {
    double load = view.expectedRequests(weights.peerFactor());
    load += RAMP_UP_PENALTY_REQUESTS * view.health().remainingRampUp(nowMillis);
    boolean crossDomain =
        !request.domain().isEmpty() && !request.domain().equals(view.profile().domain().name());
    return crossDomain ? load + CROSS_DOMAIN_PENALTY_REQUESTS : load;
  }
}

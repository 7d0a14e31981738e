package org.heatherspread.core.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places calls of plain services on the less loaded of two random endpoints (Mitzenmacher's power
 * of two choices), with the same health rules as models.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class LeastLoadedRouter {
  private static final double RAMP_UP_PENALTY_REQUESTS = 4;
  private static final double DISTANCE_PENALTY_REQUESTS = 0.5;
  private static final int CHOICES = 2;

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

  /** Chooses an endpoint; empty where none may take the request. */
  public Optional<RoutingDecision> choose(
      RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, RandomGenerator random) {
    boolean all = snapshot.ejectedCount() > health.maxEjectedShare() * snapshot.size();
    EndpointView best = pick(snapshot, request, nowMillis, random, all);
    if (best == null && !all) {
      best = pick(snapshot, request, nowMillis, random, true);
    }
    if (best == null) {
      return Optional.empty();
    }
    double millis = request.target().firstToken().toMillis();
    return Optional.of(new RoutingDecision(best, 0, 0, millis, 0, true));
  }

  private EndpointView pick(
      RoutingSnapshot snapshot,
      RoutingRequest request,
      long nowMillis,
      RandomGenerator random,
      boolean ignoreEjections) {
    int size = snapshot.size();
    int first = size == 0 ? 0 : random.nextInt(size);
    int stride = size < 2 ? 1 : 1 + random.nextInt(size - 1);
    EndpointView best = null;
    double least = 0;
    int seen = 0;
    for (int i = 0; i < size && seen < CHOICES; i++) {
      int position = i < CHOICES ? (first + i * stride) % size : (first + i) % size;
      EndpointView view = snapshot.endpoint(position);
      if (!usable(view, request, nowMillis, ignoreEjections)) {
        continue;
      }
      seen++;
      double load = load(view, request, nowMillis);
      if (best == null || load < least) {
        best = view;
        least = load;
      }
    }
    return best == null ? scan(snapshot, request, nowMillis, ignoreEjections) : best;
  }

  private EndpointView scan(
      RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, boolean ignoreEjections) {
    for (int i = 0; i < snapshot.size(); i++) {
      EndpointView view = snapshot.endpoint(i);
      if (usable(view, request, nowMillis, ignoreEjections)) {
        return view;
      }
    }
    return null;
  }

  private boolean usable(
      EndpointView view, RoutingRequest request, long nowMillis, boolean ignoreEjections) {
    return !request.excluded().contains(view.profile().id())
        && (ignoreEjections || view.health().admits(nowMillis));
  }

  private double load(EndpointView view, RoutingRequest request, long nowMillis) {
    double load = view.expectedRequests(weights.peerFactor());
    load += RAMP_UP_PENALTY_REQUESTS * view.health().remainingRampUp(nowMillis);
    boolean far =
        !request.domain().isEmpty() && !request.domain().equals(view.profile().domain().name());
    return far ? load + DISTANCE_PENALTY_REQUESTS : load;
  }
}

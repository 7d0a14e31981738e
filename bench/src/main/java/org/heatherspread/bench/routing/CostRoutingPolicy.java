package org.heatherspread.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.CacheEventConsumer;
import org.heatherspread.core.routing.CostRouter;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.RoutingDecision;
import org.heatherspread.core.routing.RoutingRequest;
import org.heatherspread.core.routing.RoutingSnapshot;
import org.heatherspread.core.routing.RoutingWeights;

/**
 * Runs the {@link CostRouter} of one simulated daemon, with its own prefix index. Not thread-safe.
 */
final class CostRoutingPolicy implements RoutingPolicy {
  private static final long INDEX_BYTES = 4 << 20;
  private static final int INDEX_LIFETIME_SECONDS = 600;
  private static final double INTER_TOKEN_TARGET_FRACTION = 0.9;

  private final RoutingSnapshot snapshot;
  private final PrefixIndex index;
  private final CostRouter router;
  private final List<CacheEventConsumer> eventConsumers = new ArrayList<>();
  private final Random random;
  private final boolean rejectEarly;
  private final LatencyTarget target;

  private CostRoutingPolicy(
      List<EndpointView> views, RoutingWeights weights, boolean rejectEarly, Random random) {
    this.snapshot = RoutingSnapshot.of(views);
    this.index = PrefixIndex.create(INDEX_BYTES, INDEX_LIFETIME_SECONDS);
    this.router = CostRouter.create(weights, HealthPolicy.defaults(), index);
    this.random = random;
    this.rejectEarly = rejectEarly;
    this.target =
        new LatencyTarget(
            Duration.ofMillis((long) RoutingSimulation.FIRST_TOKEN_TARGET_MILLIS),
            Duration.ofMillis((long) RoutingSimulation.INTER_TOKEN_TARGET_MILLIS));
    for (EndpointView view : views) {
      eventConsumers.add(CacheEventConsumer.create(index, view.slot()));
    }
  }

  /**
   * Returns a factory of policies.
   *
   * @param rejectEarly whether to reject requests that are expected to miss the latency target
   */
  static RoutingPolicy.Factory factory(RoutingWeights weights, boolean rejectEarly) {
    return (views, random) -> new CostRoutingPolicy(views, weights, rejectEarly, random);
  }

  @Override
  public Dispatch route(SimulatedRequest request, double nowMillis) {
    long now = (long) nowMillis;
    RoutingRequest routingRequest =
        RoutingRequest.of(request.blockHashes, request.promptTokens, request.answerTokens, target);
    Optional<RoutingDecision> decision = router.choose(snapshot, routingRequest, now, random);
    if (decision.isEmpty() || (rejectEarly && exceedsTarget(decision.get()))) {
      return null;
    }
    index.add(
        request.blockHashes, request.blockHashes.length, decision.get().endpoint().slot(), now);
    return decision.get().dispatch(now);
  }

  private static boolean exceedsTarget(RoutingDecision decision) {
    return decision.expectedFirstTokenMillis() > RoutingSimulation.FIRST_TOKEN_TARGET_MILLIS
        || decision.expectedIntervalMillis()
            > INTER_TOKEN_TARGET_FRACTION * RoutingSimulation.INTER_TOKEN_TARGET_MILLIS;
  }

  @Override
  public void onCacheEvents(int endpointSlot, List<CacheEvent> events, double nowMillis) {
    for (CacheEvent event : events) {
      eventConsumers.get(endpointSlot).apply(event, (long) nowMillis);
    }
  }
}
